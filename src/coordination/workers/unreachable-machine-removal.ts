/** Rate-limited removal of unreachable machines, and of silent ones to which a start command may be in flight. */

import { eventFieldsOf } from "../../cluster/events.js";
import type { Machine } from "../../cluster/machine.js";
import { startMayBeInTransit } from "../../cluster/task.js";
import type { Micros } from "../../transport/clock.js";
import type { Autoscaler } from "../autoscaling/autoscaler.js";
import type { DeletionPriority } from "../autoscaling/machine-deletion-queue.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import {
  isLikelyControllerFault,
  PROBE_TIMEOUT,
  UNREACHABLE_PROBE_INTERVAL,
  workerFailoverTime,
} from "./detection-timeouts.js";
import { commandsArrive, isOneWay, responsesArrive } from "./reachability.js";

/** Maximum share of all machines that is removed within one worker lease. */
const MAX_REMOVAL_SHARE = 0.1;

/** The removal's dependencies on its shard and its collaborators. */
export interface UnreachableMachineRemovalDependencies {
  readonly context: Pick<ShardContext, "clock" | "settings" | "log" | "eventListener">;
  readonly autoscaler: Pick<Autoscaler, "deleteMachines">;
  readonly guard: (work: Promise<unknown>) => Promise<void>;
  /** Gives up leadership when most machines are unreachable: another controller may reach them. */
  readonly onUnreachable: () => Promise<void>;
}

/**
 * Deletes machines that send heartbeats but receive neither commands nor responses, or no responses that renew their
 * leases: the deletion is the fastest proof that their tasks have ended. If many are affected at once, the likely cause
 * is a partition and not the machines. Removals are therefore bounded: the other machines keep their tasks until their
 * lease expires, and another controller that becomes the shard leader may reach them.
 */
export class UnreachableMachineRemoval {
  private recentRemovals: Micros[] = [];

  constructor(private readonly dependencies: UnreachableMachineRemovalDependencies) {}

  /**
   * Removes machines that have been unreachable for too long, or gives up leadership if most are. `machines`: those
   * that count as up; `cutOffZones`: zones whose machines with replicas are kept.
   */
  removeUnreachable(machines: readonly Machine[], cutOffZones: ReadonlySet<string>): void {
    const { clock, settings, log } = this.dependencies.context;
    const now = clock.now();
    // Workers may fail over to another path meanwhile, and heartbeats on that path show whether responses arrive.
    const minUnreachableTime = workerFailoverTime(settings.workers.heartbeatInterval);
    const unreachable = machines.filter((machine) => this.isRemovable(machine, now, minUnreachableTime));
    if (unreachable.length === 0) return;
    if (isLikelyControllerFault(unreachable.length, machines.length)) {
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
   * Removes silent machines whose lease has expired and to which a start command may still be in flight: its task
   * cannot be started elsewhere as long as the machine may come back. `fleetSize`: number of machines that count as up.
   */
  removeExpired(silent: readonly Machine[], fleetSize: number): void {
    const now = this.dependencies.context.clock.now();
    const lateStarts = (machine: Machine): number =>
      [...machine.tasks].filter((task) => startMayBeInTransit(task, now)).length;
    const removals = silent
      .filter((machine) => machine.lease.expired && !machine.lifecycle.deleting && lateStarts(machine) > 0)
      .sort((a, b) => lateStarts(b) - lateStarts(a))
      .slice(0, this.removalBudget(fleetSize, now));
    if (removals.length > 0) this.remove(removals, now, "urgent");
  }

  private isRemovable({ reachability }: Machine, now: Micros, minUnreachableTime: number): boolean {
    const { unreachableSince, statusQueriedAt } = reachability;
    if (unreachableSince === null || (!isOneWay(reachability) && responsesArrive(reachability))) return false;
    // No need to wait if responses are lost but queries are answered: the replies have already proven the loss.
    if (commandsArrive(reachability)) return true;
    // A recent probe is required: the first check after a pause of the detector would act on stale state.
    const sinceProbe = now - statusQueriedAt;
    return (
      now - unreachableSince > minUnreachableTime &&
      sinceProbe > PROBE_TIMEOUT &&
      sinceProbe < 2 * UNREACHABLE_PROBE_INTERVAL
    );
  }

  /** Number of machines that may be removed now without exceeding the share per worker lease. */
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
