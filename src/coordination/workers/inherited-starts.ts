/** Start commands of earlier leaders that may not have been answered. */

import type { Task } from "../../cluster/task.js";
import type { ShardContext } from "../context.js";
import { epochOfToken } from "../fencing-token.js";

/**
 * Treats a start command that an earlier leader may have sent as sent now without a response, unless it is on record as
 * answered. Must be called before any other conclusion about the task's start command: from then on
 * `startMayBeInTransit` decides whether the task may be released.
 */
export const markInheritedStartUnanswered = (
  { lease, clock }: Pick<ShardContext, "lease" | "clock">,
  task: Task,
): void => {
  const { startCommand } = task;
  if (startCommand.kind !== "uncertain" || startCommand.answered === true) return;
  const epoch = epochOfToken(startCommand.token);
  if (epoch >= 1 && epoch < lease.epoch) task.unansweredStartAt ??= clock.now();
};
