/** Capacity that preempted tasks are about to free beyond the demand of the task that they were preempted for. */
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import type { Resources } from "../../protocol/resources.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { jobAllowsMachine, zoneAllowed } from "./eligibility.js";
import { fits, subtractResources } from "./placement/bfgp.js";

/** How long a promise lasts: preempted tasks that write no checkpoint are gone within moments. */
const PROMISE_DURATION = seconds(1);

/** Promised capacity by machine, kept from round to round. */
export class PromisedCapacity {
  private readonly promises = new Map<Machine, { free: Resources; readonly until: Micros }>();

  /**
   * Promises `free`: the machine's capacity without its preempted tasks and with the task that they were stopped for.
   */
  promise(machine: Machine, free: Resources, now: Micros): void {
    this.promises.set(machine, { free, until: (now + PROMISE_DURATION) as Micros });
  }

  /** Removes expired promises. */
  expire(now: Micros): void {
    for (const [machine, { until }] of this.promises) if (until <= now) this.promises.delete(machine);
  }

  /** Takes promised capacity for the task. Returns its machine, or null if none has enough promised capacity. */
  take(task: Task, zoneTaskCounts: ReadonlyMap<string, number>): Machine | null {
    const { spec } = task.job;
    for (const [machine, promise] of this.promises) {
      if (!fits(spec.demand, promise.free) || !jobAllowsMachine(spec, machine.typeName, machine.zone, machine.spot))
        continue;
      if (!zoneAllowed(spec, zoneTaskCounts, machine.zone)) continue;
      promise.free = subtractResources(promise.free, spec.demand);
      return machine;
    }
    return null;
  }
}
