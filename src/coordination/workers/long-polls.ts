/** Long polling by workers: responses to heartbeats are held back, so that a start command is delivered at once. */

import { isBeingEmptied, type Machine } from "../../cluster/machine.js";
import { type Clock, type Micros, seconds, type Timer } from "../../transport/clock.js";
import { isReachable } from "./reachability.js";

/** Well below the 4 s for which a worker waits for a response. */
const MAX_WAIT = seconds(3);
/** Shorter while tasks wait for room: a held response delays the report of the next task exit. */
const MAX_WAIT_UNDER_BACKLOG = seconds(1.5);
const NO_WAIT = 0 as Micros;

const hasFreeCapacity = ({ type, load }: Machine): boolean =>
  type !== null && load.used.cpu < type.capacity.cpu && load.used.ram < type.capacity.ram;

const hasUnstartedTask = ({ tasks }: Machine): boolean => {
  for (const { startCommand } of tasks) if (startCommand.kind === "none") return true;
  return false;
};

/**
 * How long the response to a heartbeat of the machine may wait for a start command; 0: it is sent at once. Meanwhile
 * the worker reports nothing, not even a task exit, so responses wait only where a start is likely. `backlog`: the last
 * placement round left tasks waiting.
 */
export const longPollTime = (machine: Machine, now: Micros, backlog: boolean): Micros => {
  const { state, lifecycle, reachability, tasks } = machine;
  const { drainReason, fault, quarantinedUntil } = lifecycle;
  const acceptsTasks =
    state === "up" && !isBeingEmptied(machine) && drainReason === null && fault === null && quarantinedUntil <= now;
  if (!acceptsTasks || !isReachable(reachability) || reachability.probeToken !== null) return NO_WAIT;
  if (tasks.size === 0 || hasUnstartedTask(machine)) return MAX_WAIT;
  if (!hasFreeCapacity(machine)) return NO_WAIT;
  return backlog ? MAX_WAIT_UNDER_BACKLOG : MAX_WAIT;
};

/** Why a wait ended: its time has passed, or the response is to be sent now. */
export type WaitOutcome = "time passed" | "ended";

interface LongPoll {
  readonly timer: Timer;
  readonly resolve: (end: WaitOutcome) => void;
}

/** The responses held back, at most one per machine. */
export class LongPolls {
  private readonly waiting = new Map<Machine, LongPoll>();

  /** `maxWaiting`: maximum number of responses held back at once, since each occupies a connection. */
  constructor(
    private readonly clock: Clock,
    private readonly maxWaiting: number,
  ) {}

  /**
   * Waits until `end` is called for the machine, at most for `time`; not at all if too many responses are held back
   * already. Ends an earlier wait for the machine.
   */
  wait(machine: Machine, time: Micros): Promise<WaitOutcome> {
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
