/** Start commands of earlier leaders: which of them may not have had a response. */

import type { Task } from "../../cluster/task.js";
import type { ShardContext } from "../context.js";
import { epochOfToken } from "../fencing-token.js";

/**
 * Counts a start command that an earlier leader may have sent as sent now without a response, unless it is on record that
 * it was answered. To be called before anything else is concluded about the command of a task: from then on
 * `mayStartLate` tells whether the task may be released.
 */
export const noteInheritedStart = ({ lease, clock }: Pick<ShardContext, "lease" | "clock">, task: Task): void => {
  const { startCommand } = task;
  if (startCommand.kind !== "uncertain" || startCommand.answered === true) return;
  const epoch = epochOfToken(startCommand.token);
  if (epoch >= 1 && epoch < lease.epoch) task.unansweredStartAt ??= clock.now();
};
