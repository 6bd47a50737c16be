import { eventFieldsOf } from "../../cluster/events.js";
import type { Machine } from "../../cluster/machine.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { Autoscaler } from "../autoscaling/autoscaler.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import type { CommandDispatcher } from "./command-dispatcher.js";
import type { HeartbeatProcessor } from "./heartbeat-processor.js";
import { commandsArrive, isOneWay, isReachable, responsesArrive } from "./reachability.js";
import type { UnreachableZones } from "./unreachable-zones.js";

/** Time to ask all machines for their state after a handover; before, silence says nothing. */
const SETTLING_TIME = seconds(5);
const MAX_SETTLING_TIME = seconds(12);
/** Without news from the state service for so long, silence elsewhere says little. */
const STORE_SILENCE_LIMIT = seconds(3);
const PROBE_TIMEOUT = seconds(1.7);
/** Machines that are heard and not reached are asked so often whether they are again. */
const UNREACHABLE_PROBE_INTERVAL = seconds(4);
/** Of the machines, so many are given up within a worker's lease because nothing gets to them. */
const MAX_REMOVAL_SHARE = 0.1;
/** Two questions to a zone without an answer. */
const ZONE_UNANSWERED_LIMIT = seconds(3.6);
/** A zone counts as cut off when so many reports of it are missing, and not before this time. */
const MISSED_ZONE_HEARTBEATS = 8;
const MIN_ZONE_SILENCE = seconds(1.5);
/** Of a zone's machines, so many that nothing gets to make it a cut of the zone, whatever is still heard from there. */
const UNREACHABLE_ZONE_SHARE = 0.5;
const MIN_ZONE_MACHINES = 3;
/** More of all machines than this, and the fault is ours. */
const OWN_FAULT_SHARE = 0.6;
/** Silent machines asked in one tick: a zone's worth at once would take all connections. */
const MAX_PROBES = 64;
/** Reports come a quarter later at most, are given up after so long, and then go to the next controller. */
const MAX_HEARTBEAT_JITTER = 1.25;
const WORKER_HEARTBEAT_TIMEOUT = seconds(4);
const WORKER_FAILOVER_TIME = seconds(3);

export interface FailureDetectorDependencies {
  readonly context: ShardContext;
  readonly commands: Pick<CommandDispatcher, "queryStatus" | "send">;
  readonly heartbeats: Pick<HeartbeatProcessor, "machineLost">;
  readonly autoscaler: Pick<Autoscaler, "deleteMachines" | "unreachableZones">;
  readonly unreachableZones: Pick<UnreachableZones, "lastAnsweredBefore" | "markUnreachable">;
  readonly guard: (work: Promise<unknown>) => Promise<void>;
  /** Another controller may be reached where this one is not. */
  readonly onUnreachable: () => Promise<void>;
}

export interface FleetHealth {
  readonly up: number;
  readonly unresponsive: readonly string[];
  readonly silent: readonly string[];
  readonly unreachableZones: readonly string[];
}

/** Finds machines, zones or all that have fallen silent or are not reached, and has them given up. */
export class FailureDetector {
  /** When workers were last able to reach us without a gap. */
  private settledAt: Micros;
  private readonly startedAt: Micros;
  /** When machines were given up because nothing gets to them. */
  private recentRemovals: Micros[] = [];
  /** By zone, since when questions there have had no answer, and when one was last asked. */
  private readonly openZoneQueries = new Map<string, { readonly since: Micros; readonly at: Micros }>();

  constructor(private readonly dependencies: FailureDetectorDependencies) {
    this.startedAt = dependencies.context.clock.now();
    this.settledAt = (this.startedAt + SETTLING_TIME) as Micros;
  }

  /** For people: machines that nothing gets to or that have fallen silent, and zones cut off as a whole. */
  fleetHealth(): FleetHealth {
    const { shard, clock, settings, options } = this.dependencies.context;
    const late = clock.now() - settings.workers.heartbeatInterval * options.silentReports;
    const up = [...shard.machines.values()].filter(({ state }) => state === "up");
    return {
      up: up.length,
      unresponsive: up.filter(({ reachability }) => !isReachable(reachability)).map(({ name }) => name),
      silent: up.filter(({ reachability: { lastHeartbeatAt } }) => lastHeartbeatAt < late).map(({ name }) => name),
      unreachableZones: [...this.dependencies.autoscaler.unreachableZones],
    };
  }

  /** After a gap of our own, everybody seems silent until what has arrived meanwhile is read. */
  restartSettling(): void {
    this.settledAt = Math.max(this.settledAt, this.dependencies.context.clock.now() + SETTLING_TIME) as Micros;
  }

  /**
   * Silence says nothing before everybody has been asked once; a zone that is cut off is asked again and again, and must
   * not keep it from being heard.
   */
  extendSettling(): void {
    const asked = (this.dependencies.context.clock.now() + PROBE_TIMEOUT) as Micros;
    if (asked < this.startedAt + MAX_SETTLING_TIME) this.settledAt = Math.max(this.settledAt, asked) as Micros;
  }

  /** Past its lease a worker has ended everything, whether or not it can be heard. */
  expireLeases(): void {
    const { clock, settings } = this.dependencies.context;
    const span = Math.ceil(settings.workers.lease * 1.002) + seconds(0.5);
    for (const machine of this.dependencies.context.shard.machines.values()) {
      if (machine.counters.incarnation === null) {
        const before = this.dependencies.unreachableZones.lastAnsweredBefore(machine.zone);
        if (before !== null && before < machine.lease.renewedAt) machine.lease.renewedAt = before;
      }
      if (machine.lease.expired || clock.now() - machine.lease.renewedAt <= span) continue;
      machine.lease.expired = true;
      // A message of the session that is over must not bring its tasks back into the picture.
      if (machine.counters.incarnation !== null) machine.counters.expiredIncarnation = machine.counters.incarnation;
      this.dependencies.heartbeats.machineLost(machine, "worker lease over");
    }
  }

  /** A machine that misses its reports is probed, and given up if it does not answer: the cloud's answer to the
   * deletion is a far quicker proof that its tasks are gone than the end of its lease. */
  checkSilence(): void {
    const { clock, settings, options, log, cache } = this.dependencies.context;
    const now = clock.now();
    if (now < this.settledAt || now < this.alternatePathDeadline()) return;
    const limit = settings.workers.heartbeatInterval * options.silentReports;
    // One that is only known from the records, and by now should have been heard of, counts like one fallen silent.
    const up = [...this.dependencies.context.shard.machines.values()].filter(
      (machine) => (machine.state === "up" || machine.tasks.size > 0) && !machine.lifecycle.deleting,
    );
    const silent = up.filter((machine) => now - machine.reachability.lastHeartbeatAt > limit);
    const newest = up.reduce((latest, machine) => Math.max(latest, machine.reachability.lastHeartbeatAt), 0);
    const stateHeard = now - (cache.freshAsOf ?? now) <= STORE_SILENCE_LIMIT;
    if (up.length >= 3 && now - newest > limit && stateHeard) {
      // Not one of many: the workers cannot reach this controller, while another may well be reached. Their leases
      // run, and deleting them one by one, as they miss their reports, would end work that is going on.
      log.info(LogEvent.LeadershipTransferred, { reason: "no heartbeats", machines: up.length });
      void this.dependencies.guard(this.dependencies.onUnreachable());
      return;
    }
    let probes = 0;
    /** Zones in which somebody is being asked. */
    const asked = new Set<string>();
    // Those that are heard and do not answer are asked again and again: by that they are taken back.
    const unsure = up.filter(
      ({ reachability, reachability: { lastHeartbeatAt } }) =>
        reachability.consecutiveTimeouts > 0 && now - lastHeartbeatAt <= limit,
    );
    for (const machine of unsure) {
      if (probes >= MAX_PROBES) break;
      if (
        now - machine.reachability.probedAt <
        (isReachable(machine.reachability) ? PROBE_TIMEOUT : UNREACHABLE_PROBE_INTERVAL)
      )
        continue;
      probes += 1;
      machine.reachability.probedAt = now;
      asked.add(machine.zone);
      void this.dependencies.guard(this.dependencies.commands.send(machine, true));
    }
    for (const machine of silent) {
      if (probes >= MAX_PROBES) break;
      if (machine.reachability.probedAt < machine.reachability.lastHeartbeatAt) {
        probes += 1;
        machine.reachability.probedAt = now;
        asked.add(machine.zone);
        const probe =
          machine.counters.incarnation === null
            ? this.dependencies.commands.queryStatus(machine)
            : this.dependencies.commands.send(machine, true);
        void this.dependencies.guard(probe);
      }
    }
    const unanswered = this.queryZones(up, asked);
    // Where nobody at all has been heard since it was asked, the silence may be ours: with six machines one was given up
    // 3.6 s into a cut from all of them, before the cut was noticed.
    const dead = silent.filter(({ reachability: { probedAt }, reachability: { lastHeartbeatAt }, zone }) => {
      if (probedAt < lastHeartbeatAt || now - probedAt <= PROBE_TIMEOUT) return false;
      return up.length < MIN_ZONE_MACHINES || (newest > probedAt && !unanswered.has(zone));
    });
    const silentZones = this.silentZones(up, limit);
    this.dependencies.unreachableZones.markUnreachable(silentZones);
    // On record as not answered only where nobody is: from where nothing gets to, reports go on coming.
    const zones = new Set([
      ...silentZones,
      ...this.mostlyUnreachableZones(up, new Set(dead)),
      ...this.unansweredZones(),
    ]);
    if (this.transferIfNothingReachable(up)) return;
    this.dependencies.autoscaler.unreachableZones = zones;
    this.removeUnreachable(up, zones);
    // When most are silent, or the state service is, too, the fault is more likely on our side. Those that have not
    // missed a report yet may just not have been due.
    const quiet = this.expectedQuietTime(up.length, limit);
    const own =
      dead.length > Math.max(2, up.length * OWN_FAULT_SHARE) || !stateHeard || (up.length >= 3 && now - newest > quiet);
    if (dead.length === 0 || own) return;
    // Replicas in a zone that is cut off run on for as long as their worker's lease; the cut may well be over
    // before, and no proof that they are gone is worth ending them.
    const lost = dead.filter((machine) => machine.load.replicas === 0 || !zones.has(machine.zone));
    if (lost.length === 0) return;
    log.info(LogEvent.MachinesSilent, { machines: lost.map((machine) => machine.name), cut: [...zones] });
    for (const machine of lost) {
      this.dependencies.context.eventListener?.({
        kind: "machine silent",
        span: settings.workers.lease,
        ...eventFieldsOf(machine),
      });
    }
    void this.dependencies.guard(this.dependencies.autoscaler.deleteMachines(lost));
  }

  /**
   * A machine that does not answer says nothing while nobody else in its zone is known to: with each machine that is asked for
   * its silence, one that is heard is asked as well. All seven machines of a site whose reports came while nothing got
   * to them were given up one after the other. Returns the zones in which such questions are still open.
   */
  private queryZones(up: readonly Machine[], asked: ReadonlySet<string>): ReadonlySet<string> {
    const { clock } = this.dependencies.context;
    const now = clock.now();
    const latest = new Map<string, { answeredAt: number; heard: Machine; count: number }>();
    for (const machine of up) {
      const known = latest.get(machine.zone) ?? { answeredAt: 0, heard: machine, count: 0 };
      known.answeredAt = Math.max(known.answeredAt, machine.reachability.lastResponseAt);
      if (machine.reachability.lastHeartbeatAt > known.heard.reachability.lastHeartbeatAt) known.heard = machine;
      known.count += 1;
      latest.set(machine.zone, known);
    }
    for (const [zone, { answeredAt, heard, count }] of latest) {
      const open = this.openZoneQueries.get(zone);
      // With fewer machines there is nobody to compare with, also where there were more when the first one was asked: of a zone that
      // had come down to one machine, nobody was asked again, and it counted as cut off for ever.
      if (count < MIN_ZONE_MACHINES || (open !== undefined && answeredAt > open.since))
        this.openZoneQueries.delete(zone);
      else if ((open !== undefined && now - open.at > PROBE_TIMEOUT) || (open === undefined && asked.has(zone))) {
        this.openZoneQueries.set(zone, { since: open?.since ?? now, at: now });
        void this.dependencies.guard(this.dependencies.commands.send(heard, true));
      }
    }
    for (const zone of this.openZoneQueries.keys()) if (!latest.has(zone)) this.openZoneQueries.delete(zone);
    return new Set(this.openZoneQueries.keys());
  }

  /** Zones of which nobody has answered several questions, whatever is heard from there. */
  private unansweredZones(): readonly string[] {
    const now = this.dependencies.context.clock.now();
    return [...this.openZoneQueries]
      .filter(([, { since }]) => now - since > ZONE_UNANSWERED_LIMIT)
      .map(([zone]) => zone);
  }

  /** Not one zone of several machines is reached: another controller may reach them. */
  private transferIfNothingReachable(up: readonly Machine[]): boolean {
    const zones = new Set(this.unansweredZones());
    if (zones.size === 0 || up.some(({ zone }) => !zones.has(zone))) return false;
    const { log } = this.dependencies.context;
    log.info(LogEvent.LeadershipTransferred, { reason: "no zone reachable", machines: up.length });
    void this.dependencies.guard(this.dependencies.onUnreachable());
    return true;
  }

  /**
   * Machines that are heard and that nothing gets to, or whose leases nothing renews: deleting them is the fast proof that
   * their tasks are gone. Where many go at once it is a cut and no fault of theirs: the rest keeps what it runs until the
   * worker's lease is over, and whoever else holds the block may reach them.
   */
  private removeUnreachable(up: readonly Machine[], cut: ReadonlySet<string>): void {
    const { clock, settings, log } = this.dependencies.context;
    const now = clock.now();
    // Other ways to them may open meanwhile, and reports that come by those show the answers' effect.
    const stands =
      settings.workers.heartbeatInterval * MAX_HEARTBEAT_JITTER + WORKER_HEARTBEAT_TIMEOUT + WORKER_FAILOVER_TIME;
    const lost = up.filter(({ reachability, reachability: { unreachableSince }, reachability: { probedAt } }) => {
      if (unreachableSince === null || (!isOneWay(reachability) && responsesArrive(reachability))) return false;
      // Where questions are answered that showed it, there is nothing to wait for.
      if (commandsArrive(reachability)) return true;
      // And not without a question of just now: after a pause of watching, the first look found what a cut had left behind.
      const asked = now - probedAt;
      return now - unreachableSince > stands && asked > PROBE_TIMEOUT && asked < 2 * UNREACHABLE_PROBE_INTERVAL;
    });
    if (lost.length === 0) return;
    if (lost.length > Math.max(2, up.length * OWN_FAULT_SHARE)) {
      log.info(LogEvent.LeadershipTransferred, { reason: "most machines unreachable", machines: lost.length });
      void this.dependencies.guard(this.dependencies.onUnreachable());
      return;
    }
    this.recentRemovals = this.recentRemovals.filter((at) => now - at < settings.workers.lease);
    const most = Math.max(2, Math.ceil(up.length * MAX_REMOVAL_SHARE)) - this.recentRemovals.length;
    const chosen = lost
      .filter((machine) => machine.load.replicas === 0 || !cut.has(machine.zone))
      .sort((a, b) => b.tasks.size - a.tasks.size)
      .slice(0, Math.max(0, most));
    if (chosen.length === 0) return;
    for (const machine of chosen) {
      this.recentRemovals.push(now);
      this.dependencies.context.eventListener?.({
        kind: "machine silent",
        span: settings.workers.lease,
        ...eventFieldsOf(machine),
      });
    }
    log.info(LogEvent.UnreachableMachinesRemoved, { machines: chosen.map(({ name }) => name) });
    void this.dependencies.guard(this.dependencies.autoscaler.deleteMachines(chosen));
  }

  /**
   * Workers that cannot reach this controller come to it through others, once their next report is due, has failed here
   * and has been tried there. Until then silence says nothing: three machines were given up that a sibling reached.
   */
  private alternatePathDeadline(): Micros {
    const { workerPathChangedAt, settings } = this.dependencies.context;
    const changed = workerPathChangedAt();
    if (changed === null) return 0 as Micros;
    return (changed +
      Math.ceil(settings.workers.heartbeatInterval * MAX_HEARTBEAT_JITTER) +
      WORKER_HEARTBEAT_TIMEOUT +
      WORKER_FAILOVER_TIME) as Micros;
  }

  /** In which so many machines ought to have been heard several times. */
  private expectedQuietTime(machines: number, limit: number): number {
    return Math.min(
      limit,
      Math.max(
        MIN_ZONE_SILENCE,
        (MISSED_ZONE_HEARTBEATS * this.dependencies.context.settings.workers.heartbeatInterval) / machines,
      ),
    );
  }

  /** Zones to most of whose machines nothing gets, though reports may still come from there. */
  private mostlyUnreachableZones(up: readonly Machine[], dead: ReadonlySet<Machine>): readonly string[] {
    const zones = new Map<string, { all: number; away: number }>();
    for (const machine of up) {
      if (machine.zone === "") continue;
      const known = zones.get(machine.zone) ?? { all: 0, away: 0 };
      zones.set(machine.zone, known);
      known.all += 1;
      if (dead.has(machine) || !isReachable(machine.reachability)) known.away += 1;
    }
    const cut = [...zones].filter(
      ([, { all, away }]) => away >= MIN_ZONE_MACHINES && away >= all * UNREACHABLE_ZONE_SHARE,
    );
    return cut.length === zones.size ? [] : cut.map(([zone]) => zone);
  }

  /** Zones of which nothing at all has been heard for a time in which many of their machines ought to have reported. */
  private silentZones(up: readonly Machine[], limit: number): ReadonlySet<string> {
    const { clock } = this.dependencies.context;
    const zones = new Map<string, { machines: number; newest: Micros }>();
    for (const {
      zone,
      reachability: { lastHeartbeatAt },
    } of up) {
      // Known from the records only: in no zone that anything could be concluded of.
      if (zone === "") continue;
      const known = zones.get(zone) ?? { machines: 0, newest: 0 as Micros };
      zones.set(zone, { machines: known.machines + 1, newest: Math.max(known.newest, lastHeartbeatAt) as Micros });
    }
    const cut = [...zones].filter(([, { machines, newest }]) => {
      return machines >= 3 && clock.now() - newest > this.expectedQuietTime(machines, limit);
    });
    // Of nobody at all: then it is us who hear nothing.
    return new Set(cut.length === zones.size ? [] : cut.map(([zone]) => zone));
  }
}
