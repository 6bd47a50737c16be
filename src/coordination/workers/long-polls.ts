/** Long polling by workers: responses to heartbeats that wait, so that a start reaches its machine at once. */

import { isBeingEmptied, type Machine } from "../../cluster/machine.js";
import { type Clock, type Micros, seconds, type Timer } from "../../transport/clock.js";
import { isReachable } from "./reachability.js";

/** Well below the 4 s for which a worker waits for a response. */
const MAX_WAIT = seconds(3);
/** Where tasks wait for room, ends of tasks are to be reported soon. */
const MAX_WAIT_UNDER_BACKLOG = seconds(1.5);
const NO_WAIT = 0 as Micros;

const hasRoom = ({ type, load }: Machine): boolean =>
  type !== null && load.used.cpu < type.capacity.cpu && load.used.ram < type.capacity.ram;

const hasUnstartedTask = ({ tasks }: Machine): boolean => {
  for (const { startCommand } of tasks) if (startCommand.kind === "none") return true;
  return false;
};

/**
 * How long the response to a heartbeat of the machine may wait for a start; 0: it is to be sent at once. Meanwhile the worker
 * reports nothing, not even the end of a task, so that machines wait only where a start is likely. `backlog`: the last placement
 * round left tasks waiting.
 */
export const longPollTime = (machine: Machine, now: Micros, backlog: boolean): Micros => {
  const { state, lifecycle, reachability, tasks } = machine;
  const takesTasks =
    state === "up" && !isBeingEmptied(machine) && lifecycle.drainReason === null && lifecycle.quarantinedUntil <= now;
  if (!takesTasks || !isReachable(reachability) || reachability.probeToken !== null) return NO_WAIT;
  if (tasks.size === 0 || hasUnstartedTask(machine)) return MAX_WAIT;
  if (!hasRoom(machine)) return NO_WAIT;
  return backlog ? MAX_WAIT_UNDER_BACKLOG : MAX_WAIT;
};

/** Why a wait is over: its time has passed, or the response is to be sent now. */
export type WaitEnd = "time passed" | "ended";

interface LongPoll {
  readonly timer: Timer;
  readonly resolve: (end: WaitEnd) => void;
}

/** The responses that wait, at most one a machine. */
export class LongPolls {
  private readonly waiting = new Map<Machine, LongPoll>();

  /** `maxWaiting`: so many responses wait at once, since each takes a connection. */
  constructor(
    private readonly clock: Clock,
    private readonly maxWaiting: number,
  ) {}

  /**
   * Waits until `end` is called for the machine, at most for `time`; not at all where too many wait already. An earlier wait for
   * the machine ends now.
   */
  wait(machine: Machine, time: Micros): Promise<WaitEnd> {
    this.end(machine);
    if (this.waiting.size >= this.maxWaiting) return Promise.resolve("ended");
    return new Promise((resolve) => {
      const timer = this.clock.after(time, () => {
        this.waiting.delete(machine);
        resolve("time passed");
      });
      this.waiting.set(machine, { timer, resolve });
    });
  }

  /** Ends the wait for the machine. Returns whether there was one. */
  end(machine: Machine): boolean {
    const longPoll = this.waiting.get(machine);
    if (longPoll === undefined) return false;
    this.waiting.delete(machine);
    longPoll.timer.cancel();
    longPoll.resolve("ended");
    return true;
  }

  /** Ends all waits. */
  endAll(): void {
    for (const machine of [...this.waiting.keys()]) this.end(machine);
  }
}
