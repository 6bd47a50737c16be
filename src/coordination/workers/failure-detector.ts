/** Detection of machines and zones that have fallen silent or are not reached, and what is done about them. */

import { eventFieldsOf } from "../../cluster/events.js";
import type { Machine } from "../../cluster/machine.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { Autoscaler } from "../autoscaling/autoscaler.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import type { CommandDispatcher } from "./command-dispatcher.js";
import { isOwnFault, PROBE_TIMEOUT, UNREACHABLE_PROBE_INTERVAL, workerFailoverTime } from "./detection-timeouts.js";
import type { HeartbeatProcessor } from "./heartbeat-processor.js";
import { isReachable } from "./reachability.js";
import { UnreachableMachineRemoval } from "./unreachable-machine-removal.js";
import type { UnreachableZones } from "./unreachable-zones.js";
import {
  expectedQuietTime,
  MIN_ZONE_MACHINES,
  mostlyUnreachableZones,
  type SilenceLimits,
  silentZones,
} from "./zone-findings.js";
import { ZoneQueries } from "./zone-queries.js";

/** Time to ask all machines for their state after a failover; before, silence says nothing. */
const SETTLING_TIME = seconds(5);
const MAX_SETTLING_TIME = seconds(12);
/** Without news from the key-value store for so long, silence elsewhere says little. */
const STORE_SILENCE_LIMIT = seconds(3);
/** Silent machines probed in one check: a zone's worth at once would take all connections. */
const MAX_PROBES = 64;
/** The clocks of workers may run slower than this one by so much. */
const MAX_CLOCK_DRIFT = 1.002;
/** Beyond a worker's lease, the time until its tasks have surely ended. */
const LEASE_EXPIRY_MARGIN = seconds(0.5);
/** In the log of lost tasks; tools and tests look for the text. */
const LEASE_EXPIRY_REASON = "worker lease over";

/** What the detector needs of its shard and its collaborators. */
export interface FailureDetectorDependencies {
  readonly context: ShardContext;
  readonly commands: Pick<CommandDispatcher, "queryStatus" | "send">;
  readonly heartbeats: Pick<HeartbeatProcessor, "leaseExpired">;
  readonly autoscaler: Pick<Autoscaler, "deleteMachines" | "unreachableZones">;
  readonly unreachableZones: Pick<UnreachableZones, "lastAnsweredBefore" | "markUnreachable">;
  readonly guard: (work: Promise<unknown>) => Promise<void>;
  /** Another controller may be reached where this one is not. */
  readonly onUnreachable: () => Promise<void>;
}

/** For operators: names of machines and zones that are not heard or not reached. */
export interface FleetHealth {
  readonly up: number;
  readonly unresponsive: readonly string[];
  readonly silent: readonly string[];
  readonly unreachableZones: readonly string[];
}

/** What one check finds before it probes anything. */
interface SilenceSurvey {
  readonly now: Micros;
  readonly limits: SilenceLimits;
  /** Machines that are up, or are known from the records only and have tasks. */
  readonly up: readonly Machine[];
  /** Those of `up` without a heartbeat for too long. */
  readonly silent: readonly Machine[];
  /** When the last heartbeat of any of them came. */
  readonly lastHeartbeatAt: number;
  /** Has the key-value store been heard of lately? */
  readonly storeHeard: boolean;
}

/** Finds machines, zones or all that have fallen silent or are not reached, and has them given up. */
export class FailureDetector {
  /** When workers were last able to reach this controller without a gap. */
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

  /** For operators: machines that nothing gets to or that have fallen silent, and zones cut off as a whole. */
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

  /** After a gap of this process, every machine seems silent until what has arrived meanwhile is read. */
  restartSettling(): void {
    this.settledAt = Math.max(this.settledAt, this.dependencies.context.clock.now() + SETTLING_TIME) as Micros;
  }

  /**
   * Silence says nothing before every machine has been asked once; a zone that is cut off is asked again and again, and
   * must not keep it from being heard.
   */
  extendSettling(): void {
    const answeredBy = (this.dependencies.context.clock.now() + PROBE_TIMEOUT) as Micros;
    if (answeredBy < this.startedAt + MAX_SETTLING_TIME)
      this.settledAt = Math.max(this.settledAt, answeredBy) as Micros;
  }

  /** Past its lease a worker has ended everything, whether or not it can be heard. */
  expireLeases(): void {
    const { clock, settings, shard } = this.dependencies.context;
    const expiryTime = Math.ceil(settings.workers.lease * MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN;
    const now = clock.now();
    for (const machine of shard.machines.values()) {
      if (machine.counters.incarnation === null) this.applyInheritedSilence(machine);
      if (machine.lease.expired) {
        // A start that was being sent may have been answered since.
        if (machine.tasks.size > 0) this.dependencies.heartbeats.leaseExpired(machine, LEASE_EXPIRY_REASON);
        continue;
      }
      if (now - machine.lease.renewedAt <= expiryTime) continue;
      machine.lease.expired = true;
      // A message of the incarnation that is over must not bring its tasks back into the shard's state.
      if (machine.counters.incarnation !== null) machine.counters.expiredIncarnation = machine.counters.incarnation;
      this.dependencies.heartbeats.leaseExpired(machine, LEASE_EXPIRY_REASON);
    }
  }

  /** A machine not heard of here has no lease renewed later than the time that the leader before left on record. */
  private applyInheritedSilence(machine: Machine): void {
    const answeredBefore = this.dependencies.unreachableZones.lastAnsweredBefore(machine.zone);
    if (answeredBefore !== null && answeredBefore < machine.lease.renewedAt) machine.lease.renewedAt = answeredBefore;
  }

  /**
   * A machine that misses its heartbeats is probed, and given up if it does not answer: the cloud's answer to the
   * deletion is a far quicker proof that its tasks are gone than the expiry of its lease.
   */
  checkSilence(): void {
    const { context, autoscaler, unreachableZones } = this.dependencies;
    const now = context.clock.now();
    if (now < this.settledAt || now < this.alternatePathDeadline()) return;
    const survey = this.survey(now);
    const { up, limits } = survey;
    if (this.transferIfAllSilent(survey)) return;
    const openZones = this.zoneQueries.update(up, this.probeMachines(survey), now);
    const dead = this.findDead(survey, openZones);
    const silent = silentZones(up, limits, now);
    unreachableZones.markUnreachable(silent);
    const unanswered = this.zoneQueries.unansweredZones(now);
    // On record as not answered only where nobody is: from where nothing gets to, heartbeats go on coming.
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
    // One that is only known from the records, and by now should have been heard of, counts like one fallen silent.
    const up: Machine[] = [];
    const silent: Machine[] = [];
    let latestHeartbeatAt = 0;
    // One walk, four times a second over the whole fleet.
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
      storeHeard: now - (cache.freshAsOf ?? now) <= STORE_SILENCE_LIMIT,
    };
  }

  /**
   * Not one of many is heard: the workers cannot reach this controller, while another may well be reached. Their leases
   * run, and deleting them one by one, as they miss their heartbeats, would end work that is going on.
   */
  private transferIfAllSilent({ now, limits, up, lastHeartbeatAt, storeHeard }: SilenceSurvey): boolean {
    if (up.length < MIN_ZONE_MACHINES || now - lastHeartbeatAt <= limits.machineSilence || !storeHeard) return false;
    this.transferLeadership("no heartbeats", up.length);
    return true;
  }

  /** Not one zone of several machines is reached: another controller may reach them. */
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
      machine.reachability.probedAt = now;
      probedZones.add(machine.zone);
    };
    // Those that are heard and do not answer are asked again and again: by that they are taken back.
    const timedOut = up.filter(
      ({ reachability }) =>
        reachability.consecutiveTimeouts > 0 && now - reachability.lastHeartbeatAt <= limits.machineSilence,
    );
    for (const machine of timedOut) {
      if (probes >= MAX_PROBES) break;
      const interval = isReachable(machine.reachability) ? PROBE_TIMEOUT : UNREACHABLE_PROBE_INTERVAL;
      if (now - machine.reachability.probedAt < interval) continue;
      recordProbe(machine);
      this.sendProbe(machine);
    }
    for (const machine of silent) {
      if (probes >= MAX_PROBES) break;
      if (machine.reachability.probedAt >= machine.reachability.lastHeartbeatAt) continue;
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
   * Silent machines that did not answer their probe. Where nobody at all has been heard since it was sent, the silence may
   * be the controller's own: with six machines one was given up 3.6 s into a cut from all of them, before the cut was
   * noticed.
   */
  private findDead(
    { now, up, silent, lastHeartbeatAt }: SilenceSurvey,
    openZones: ReadonlySet<string>,
  ): readonly Machine[] {
    return silent.filter(({ reachability, zone }) => {
      const { probedAt } = reachability;
      if (probedAt < reachability.lastHeartbeatAt || now - probedAt <= PROBE_TIMEOUT) return false;
      return up.length < MIN_ZONE_MACHINES || (lastHeartbeatAt > probedAt && !openZones.has(zone));
    });
  }

  private removeDead(survey: SilenceSurvey, dead: readonly Machine[], cutOffZones: ReadonlySet<string>): void {
    const { context, autoscaler } = this.dependencies;
    if (dead.length === 0 || this.isOwnSilence(survey, dead.length)) return;
    // Replicas in a zone that is cut off run on for as long as their worker's lease; the cut may well be over
    // before, and no proof that they are gone is worth ending them.
    const lost = dead.filter((machine) => machine.load.replicas === 0 || !cutOffZones.has(machine.zone));
    if (lost.length === 0) return;
    context.log.info(LogEvent.MachinesSilent, { machines: lost.map(({ name }) => name), cut: [...cutOffZones] });
    const { eventListener, settings } = context;
    for (const machine of lost)
      eventListener?.({ kind: "machine silent", span: settings.workers.lease, ...eventFieldsOf(machine) });
    void this.dependencies.guard(autoscaler.deleteMachines(lost));
  }

  /**
   * When most are silent, or the key-value store is, too, the fault is more likely on the controller's side. Those that
   * have not missed a heartbeat yet may just not have been due.
   */
  private isOwnSilence({ now, limits, up, lastHeartbeatAt, storeHeard }: SilenceSurvey, dead: number): boolean {
    if (isOwnFault(dead, up.length) || !storeHeard) return true;
    return up.length >= MIN_ZONE_MACHINES && now - lastHeartbeatAt > expectedQuietTime(up.length, limits);
  }

  /**
   * Workers that cannot reach this controller come to it through others, once their next heartbeat is due, has failed here
   * and has been tried there. Until then silence says nothing: three machines were given up that a peer reached.
   */
  private alternatePathDeadline(): Micros {
    const { workerPathChangedAt, settings } = this.dependencies.context;
    const changedAt = workerPathChangedAt();
    if (changedAt === null) return 0 as Micros;
    return (changedAt + Math.ceil(workerFailoverTime(settings.workers.heartbeatInterval))) as Micros;
  }
}
