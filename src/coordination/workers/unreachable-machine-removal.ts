/** Removal of machines that are heard and not reached, bounded in number. */

import { eventFieldsOf } from "../../cluster/events.js";
import type { Machine } from "../../cluster/machine.js";
import { mayStartLate } from "../../cluster/task.js";
import type { Micros } from "../../transport/clock.js";
import type { Autoscaler } from "../autoscaling/autoscaler.js";
import type { DeletionPriority } from "../autoscaling/machine-deletion-queue.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import { isOwnFault, PROBE_TIMEOUT, UNREACHABLE_PROBE_INTERVAL, workerFailoverTime } from "./detection-timeouts.js";
import { commandsArrive, isOneWay, responsesArrive } from "./reachability.js";

/** Of the machines, so many are given up within a worker's lease because nothing gets to them. */
const MAX_REMOVAL_SHARE = 0.1;

/** What the removal needs of its shard and its collaborators. */
export interface UnreachableMachineRemovalDependencies {
  readonly context: Pick<ShardContext, "clock" | "settings" | "log" | "eventListener">;
  readonly autoscaler: Pick<Autoscaler, "deleteMachines">;
  readonly guard: (work: Promise<unknown>) => Promise<void>;
  /** Most machines are unreachable: another controller may reach them. */
  readonly onUnreachable: () => Promise<void>;
}

/**
 * Machines that are heard and that nothing gets to, or whose leases nothing renews: deleting them is the fast proof that
 * their tasks are gone. Where many go at once it is a cut and no fault of theirs: the rest keeps what it runs until the
 * worker's lease expires, and whichever controller else leads the shard may reach them.
 */
export class UnreachableMachineRemoval {
  private recentRemovals: Micros[] = [];

  constructor(private readonly dependencies: UnreachableMachineRemovalDependencies) {}

  /** `machines`: those that count as up; `cutOffZones`: zones whose machines with replicas are kept. */
  removeUnreachable(machines: readonly Machine[], cutOffZones: ReadonlySet<string>): void {
    const { clock, settings, log } = this.dependencies.context;
    const now = clock.now();
    // Other ways to them may open meanwhile, and heartbeats that come by those show the effect of the responses.
    const minUnreachableTime = workerFailoverTime(settings.workers.heartbeatInterval);
    const unreachable = machines.filter((machine) => this.isRemovable(machine, now, minUnreachableTime));
    if (unreachable.length === 0) return;
    if (isOwnFault(unreachable.length, machines.length)) {
      log.info(LogEvent.LeadershipTransferred, { reason: "most machines unreachable", machines: unreachable.length });
      void this.dependencies.guard(this.dependencies.onUnreachable());
      return;
    }
    const removals = unreachable
      .filter((machine) => machine.load.replicas === 0 || !cutOffZones.has(machine.zone))
      .sort((a, b) => b.tasks.size - a.tasks.size)
      .slice(0, this.removalBudget(machines.length, now));
    if (removals.length > 0) this.remove(removals, now);
  }

  /**
   * Silent machines past their lease to which a start is still on its way: as long as they may be back, its task can't begin
   * elsewhere. `fleetSize`: of the machines that count as up.
   */
  removeExpired(silent: readonly Machine[], fleetSize: number): void {
    const now = this.dependencies.context.clock.now();
    const lateStarts = (machine: Machine): number =>
      [...machine.tasks].filter((task) => mayStartLate(task, now)).length;
    const removals = silent
      .filter((machine) => machine.lease.expired && !machine.lifecycle.deleting && lateStarts(machine) > 0)
      .sort((a, b) => lateStarts(b) - lateStarts(a))
      .slice(0, this.removalBudget(fleetSize, now));
    if (removals.length > 0) this.remove(removals, now, "urgent");
  }

  private isRemovable({ reachability }: Machine, now: Micros, minUnreachableTime: number): boolean {
    const { unreachableSince, probedAt } = reachability;
    if (unreachableSince === null || (!isOneWay(reachability) && responsesArrive(reachability))) return false;
    // Where queries are answered that showed it, there is nothing to wait for.
    if (commandsArrive(reachability)) return true;
    // And not without a probe of just now: after a pause of the detector, the first look found what a cut had left behind.
    const sinceProbe = now - probedAt;
    return (
      now - unreachableSince > minUnreachableTime &&
      sinceProbe > PROBE_TIMEOUT &&
      sinceProbe < 2 * UNREACHABLE_PROBE_INTERVAL
    );
  }

  /** How many machines may be removed now. */
  private removalBudget(machines: number, now: Micros): number {
    const { lease } = this.dependencies.context.settings.workers;
    this.recentRemovals = this.recentRemovals.filter((at) => now - at < lease);
    const limit = Math.max(2, Math.ceil(machines * MAX_REMOVAL_SHARE));
    return Math.max(0, limit - this.recentRemovals.length);
  }

  private remove(machines: readonly Machine[], now: Micros, priority: DeletionPriority = "normal"): void {
    const { settings, log, eventListener } = this.dependencies.context;
    for (const machine of machines) {
      this.recentRemovals.push(now);
      eventListener?.({ kind: "machine silent", span: settings.workers.lease, ...eventFieldsOf(machine) });
    }
    log.info(LogEvent.UnreachableMachinesRemoved, { machines: machines.map(({ name }) => name) });
    void this.dependencies.guard(this.dependencies.autoscaler.deleteMachines(machines, priority));
  }
}
