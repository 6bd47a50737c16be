/** Detects machines and zones that are silent or unreachable, and has them removed or the leadership transferred. */

import { eventFieldsOf } from "../../cluster/events.js";
import type { Machine } from "../../cluster/machine.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { Autoscaler } from "../autoscaling/autoscaler.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import type { CommandDispatcher } from "./command-dispatcher.js";
import {
  isLikelyControllerFault,
  PROBE_TIMEOUT,
  UNREACHABLE_PROBE_INTERVAL,
  workerFailoverTime,
} from "./detection-timeouts.js";
import { isReachable } from "./reachability.js";
import { UnreachableMachineRemoval } from "./unreachable-machine-removal.js";
import type { UnreachableZones } from "./unreachable-zones.js";
import {
  MIN_ZONE_MACHINES,
  mostlyUnreachableZones,
  type SilenceLimits,
  silenceThreshold,
  silentZones,
} from "./zone-findings.js";
import { ZoneQueries } from "./zone-queries.js";

/** Time for querying all machines after a failover; a missing heartbeat is not counted as silence until then. */
const SETTLING_TIME = seconds(5);
const MAX_SETTLING_TIME = seconds(12);
/** If the watch cache is older than this, the controller itself may be cut off, and silent machines are not removed. */
const CACHE_STALENESS_LIMIT = seconds(3);
/** Maximum probes in one check: probing a whole zone at once would use up all connections. */
const MAX_PROBES = 64;
/** The detector's dependencies on its shard and its collaborators. */
export interface FailureDetectorDependencies {
  readonly context: ShardContext;
  readonly commands: Pick<CommandDispatcher, "queryStatus" | "send">;
  readonly autoscaler: Pick<Autoscaler, "deleteMachines" | "unreachableZones">;
  readonly unreachableZones: Pick<UnreachableZones, "markUnreachable">;
  readonly guard: (work: Promise<unknown>) => Promise<void>;
  /** Gives up leadership: another controller may be able to reach the machines that this one cannot. */
  readonly onUnreachable: () => Promise<void>;
}

/** Reachability of the fleet for operators: number of machines that are up, names of affected machines and zones. */
export interface FleetHealth {
  readonly up: number;
  readonly unresponsive: readonly string[];
  readonly silent: readonly string[];
  readonly unreachableZones: readonly string[];
}

/** State of the fleet at the start of a check, before any probe is sent. */
interface SilenceSurvey {
  readonly now: Micros;
  readonly limits: SilenceLimits;
  /** Machines that are up, and machines known only from stored records that have tasks. */
  readonly up: readonly Machine[];
  /** Machines in `up` whose last heartbeat is older than the silence limit. */
  readonly silent: readonly Machine[];
  /** When the latest heartbeat of any machine in `up` was received; 0 if there was none. */
  readonly lastHeartbeatAt: number;
  /** Whether the watch cache has been updated from the key-value store recently. */
  readonly isCacheFresh: boolean;
}

/** Finds silent or unreachable machines and zones, removes machines, and gives up leadership if most are affected. */
export class FailureDetector {
  /** Silence is not checked before this time: workers may not have been able to reach this controller until then. */
  private settledAt: Micros;
  private readonly startedAt: Micros;
  private readonly zoneQueries: ZoneQueries;
  private readonly removal: UnreachableMachineRemoval;

  constructor(private readonly dependencies: FailureDetectorDependencies) {
    this.startedAt = dependencies.context.clock.now();
    this.settledAt = (this.startedAt + SETTLING_TIME) as Micros;
    this.zoneQueries = new ZoneQueries((machine) => this.sendProbe(machine));
    this.removal = new UnreachableMachineRemoval(dependencies);
  }

  /** Returns for operators the machines that are unreachable or silent, and the zones that are cut off. */
  fleetHealth(): FleetHealth {
    const { shard, clock, settings, options } = this.dependencies.context;
    const silentBefore = clock.now() - settings.workers.heartbeatInterval * options.silentReports;
    const up = [...shard.machines.values()].filter(({ state }) => state === "up");
    return {
      up: up.length,
      unresponsive: up.filter(({ reachability }) => !isReachable(reachability)).map(({ name }) => name),
      silent: up
        .filter(({ reachability: { lastHeartbeatAt } }) => lastHeartbeatAt < silentBefore)
        .map(({ name }) => name),
      unreachableZones: [...this.dependencies.autoscaler.unreachableZones],
    };
  }

  /** Restarts the settling time after a process pause: machines seem silent until queued heartbeats are read. */
  restartSettling(): void {
    this.settledAt = Math.max(this.settledAt, this.dependencies.context.clock.now() + SETTLING_TIME) as Micros;
  }

  /**
   * Extends the settling time while status queries are queued, since silence counts only after every machine has been
   * queried once. The extension is bounded: a zone that is cut off is queried repeatedly and would otherwise postpone
   * the detection of its silence for ever.
   */
  extendSettling(): void {
    const repliesDueAt = (this.dependencies.context.clock.now() + PROBE_TIMEOUT) as Micros;
    if (repliesDueAt < this.startedAt + MAX_SETTLING_TIME)
      this.settledAt = Math.max(this.settledAt, repliesDueAt) as Micros;
  }

  /**
   * Probes machines that miss heartbeats and deletes those that do not reply: the cloud's confirmation of the deletion
   * proves that their tasks have ended much earlier than the expiry of the lease does.
   */
  checkSilence(): void {
    const { context, autoscaler, unreachableZones } = this.dependencies;
    const now = context.clock.now();
    if (now < this.settledAt || now < this.alternatePathDeadline()) return;
    const survey = this.survey(now);
    const { up, limits } = survey;
    if (this.transferIfAllSilent(survey)) return;
    const zonesWithOpenQueries = this.zoneQueries.update(up, this.probeMachines(survey), now);
    const dead = this.findDead(survey, zonesWithOpenQueries);
    const silent = silentZones(up, limits, now);
    unreachableZones.markUnreachable(silent);
    const unanswered = this.zoneQueries.unansweredZones(now);
    // Only silent zones go on record as unanswered: from the other cut-off zones heartbeats still arrive.
    const cutOffZones = new Set([...silent, ...mostlyUnreachableZones(up, new Set(dead)), ...unanswered]);
    if (this.transferIfNothingReachable(up, new Set(unanswered))) return;
    autoscaler.unreachableZones = cutOffZones;
    this.removal.removeUnreachable(up, cutOffZones);
    this.removal.removeExpired(survey.silent, up.length);
    this.removeDead(survey, dead, cutOffZones);
  }

  private survey(now: Micros): SilenceSurvey {
    const { shard, settings, options, cache } = this.dependencies.context;
    const { heartbeatInterval } = settings.workers;
    const machineSilence = heartbeatInterval * options.silentReports;
    // A machine known only from stored records should have sent a heartbeat by now; without one it counts as silent.
    const up: Machine[] = [];
    const silent: Machine[] = [];
    let latestHeartbeatAt = 0;
    // A single pass, since this runs four times a second over the whole fleet.
    for (const machine of shard.machines.values()) {
      if ((machine.state !== "up" && machine.tasks.size === 0) || machine.lifecycle.deleting) continue;
      const { lastHeartbeatAt } = machine.reachability;
      up.push(machine);
      if (now - lastHeartbeatAt > machineSilence) silent.push(machine);
      latestHeartbeatAt = Math.max(latestHeartbeatAt, lastHeartbeatAt);
    }
    return {
      now,
      limits: { machineSilence, heartbeatInterval },
      up,
      silent,
      lastHeartbeatAt: latestHeartbeatAt,
      isCacheFresh: now - (cache.freshAsOf ?? now) <= CACHE_STALENESS_LIMIT,
    };
  }

  /**
   * Gives up leadership if all machines are silent: their workers cannot reach this controller but may reach another
   * one. Their leases still run, and deleting the machines one by one as they miss heartbeats would end running tasks.
   */
  private transferIfAllSilent({ now, limits, up, lastHeartbeatAt, isCacheFresh }: SilenceSurvey): boolean {
    if (up.length < MIN_ZONE_MACHINES || now - lastHeartbeatAt <= limits.machineSilence || !isCacheFresh) return false;
    this.transferLeadership("no heartbeats", up.length);
    return true;
  }

  /** Gives up leadership if no zone answers queries: another controller may reach the machines. */
  private transferIfNothingReachable(up: readonly Machine[], unansweredZones: ReadonlySet<string>): boolean {
    if (unansweredZones.size === 0 || up.some(({ zone }) => !unansweredZones.has(zone))) return false;
    this.transferLeadership("no zone reachable", up.length);
    return true;
  }

  private transferLeadership(reason: string, machines: number): void {
    this.dependencies.context.log.info(LogEvent.LeadershipTransferred, { reason, machines });
    void this.dependencies.guard(this.dependencies.onUnreachable());
  }

  /** Probes machines that timed out or fell silent, a bounded number of them. Returns their zones. */
  private probeMachines({ now, limits, up, silent }: SilenceSurvey): ReadonlySet<string> {
    let probes = 0;
    const probedZones = new Set<string>();
    const recordProbe = (machine: Machine): void => {
      probes += 1;
      machine.reachability.statusQueriedAt = now;
      probedZones.add(machine.zone);
    };
    // Machines that send heartbeats but time out are probed repeatedly: a reply makes them reachable again.
    const timedOut = up.filter(
      ({ reachability }) =>
        reachability.consecutiveTimeouts > 0 && now - reachability.lastHeartbeatAt <= limits.machineSilence,
    );
    for (const machine of timedOut) {
      if (probes >= MAX_PROBES) break;
      const interval = isReachable(machine.reachability) ? PROBE_TIMEOUT : UNREACHABLE_PROBE_INTERVAL;
      if (now - machine.reachability.statusQueriedAt < interval) continue;
      recordProbe(machine);
      this.sendProbe(machine);
    }
    for (const machine of silent) {
      if (probes >= MAX_PROBES) break;
      if (machine.reachability.statusQueriedAt >= machine.reachability.lastHeartbeatAt) continue;
      recordProbe(machine);
      if (machine.counters.incarnation === null) this.queryStatus(machine);
      else this.sendProbe(machine);
    }
    return probedZones;
  }

  private sendProbe(machine: Machine): void {
    void this.dependencies.guard(this.dependencies.commands.send(machine, true));
  }

  private queryStatus(machine: Machine): void {
    void this.dependencies.guard(this.dependencies.commands.queryStatus(machine));
  }

  /**
   * Returns silent machines that did not reply to their probe. If no machine at all has sent a heartbeat since the
   * probe, the controller itself may be cut off: with six machines, one was deleted 3.6 s into a partition from all of
   * them, before the partition was detected.
   */
  private findDead(
    { now, up, silent, lastHeartbeatAt }: SilenceSurvey,
    zonesWithOpenQueries: ReadonlySet<string>,
  ): readonly Machine[] {
    return silent.filter(({ reachability, zone }) => {
      const { statusQueriedAt } = reachability;
      if (statusQueriedAt < reachability.lastHeartbeatAt || now - statusQueriedAt <= PROBE_TIMEOUT) return false;
      return up.length < MIN_ZONE_MACHINES || (lastHeartbeatAt > statusQueriedAt && !zonesWithOpenQueries.has(zone));
    });
  }

  private removeDead(survey: SilenceSurvey, dead: readonly Machine[], cutOffZones: ReadonlySet<string>): void {
    const { context, autoscaler } = this.dependencies;
    if (dead.length === 0 || this.isControllerCutOff(survey, dead.length)) return;
    // Replicas in a zone that is cut off run until their worker's lease expires. The partition may end before that, and
    // an earlier proof that they have ended is not worth stopping them.
    const removals = dead.filter((machine) => machine.load.replicas === 0 || !cutOffZones.has(machine.zone));
    if (removals.length === 0) return;
    context.log.info(LogEvent.MachinesSilent, { machines: removals.map(({ name }) => name), cut: [...cutOffZones] });
    const { eventListener, settings } = context;
    for (const machine of removals)
      eventListener?.({ kind: "machine silent", span: settings.workers.lease, ...eventFieldsOf(machine) });
    void this.dependencies.guard(autoscaler.deleteMachines(removals));
  }

  /**
   * Whether the fault is more likely on the controller's side: most machines are silent, the key-value store is silent
   * too, or no heartbeat at all has been received for longer than expected. In the last case the machines that do not
   * count as silent may merely not have had a heartbeat due.
   */
  private isControllerCutOff({ now, limits, up, lastHeartbeatAt, isCacheFresh }: SilenceSurvey, dead: number): boolean {
    if (isLikelyControllerFault(dead, up.length) || !isCacheFresh) return true;
    return up.length >= MIN_ZONE_MACHINES && now - lastHeartbeatAt > silenceThreshold(up.length, limits);
  }

  /**
   * Returns the time until which silence is not counted after the path to the workers changed. A worker that cannot
   * reach this controller sends its next heartbeat through a peer after the direct attempt has timed out; without this
   * wait, three machines were deleted that a peer could reach.
   */
  private alternatePathDeadline(): Micros {
    const { workerPathChangedAt, settings } = this.dependencies.context;
    const changedAt = workerPathChangedAt();
    if (changedAt === null) return 0 as Micros;
    return (changedAt + Math.ceil(workerFailoverTime(settings.workers.heartbeatInterval))) as Micros;
  }
}
