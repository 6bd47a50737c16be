import { factsOf } from "../bookkeeping/events.js";
import type { Machine } from "../bookkeeping/picture.js";
import { type Micros, seconds } from "../transport/clock.js";
import type { Commander } from "./commander.js";
import type { BlockContext } from "./context.js";
import { answersReach, commandsReach, isDeaf, isReached } from "./decisions/reach.js";
import type { Observer } from "./observer.js";
import type { Rental } from "./rental.js";
import type { Silences } from "./silence-record.js";

/** Time to ask all machines for their state after a handover; before, silence says nothing. */
const SETTLE = seconds(5);
const SETTLE_MOST = seconds(12);
/** Without news from the state service for so long, silence elsewhere says little. */
const OWN_FAULT = seconds(3);
const PROBE_TIME = seconds(1.7);
/** Machines that are heard and not reached are asked so often whether they are again. */
const PROBE_AGAIN = seconds(4);
/** Of the machines, so many are given up within a worker's lease because nothing gets to them. */
const GIVE_UP_SHARE = 0.1;
/** Two questions to a zone without an answer. */
const UNREACHED_AFTER = seconds(3.6);
/** A zone counts as cut off when so many reports of it are missing, and not before this time. */
const CUT_REPORTS = 8;
const CUT_LEAST = seconds(1.5);
/** Of a zone's machines, so many that nothing gets to make it a cut of the zone, whatever is still heard from there. */
const UNREACHED_SHARE = 0.5;
const FEWEST = 3;
/** More of all machines than this, and the fault is ours. */
const OWN_SHARE = 0.6;
/** Silent machines asked in one tick: a zone's worth at once would take all connections. */
const MAX_PROBES = 64;
/** Reports come a quarter later at most, are given up after so long, and then go to the next controller. */
const LONGEST_REPORT = 1.25;
const REPORT_PATIENCE = seconds(4);
const NEXT_NODE = seconds(3);

export interface WatchAround {
  readonly context: BlockContext;
  readonly commander: Pick<Commander, "inquire" | "send">;
  readonly observer: Pick<Observer, "lost">;
  readonly rental: Pick<Rental, "remove" | "cutZones">;
  readonly silences: Pick<Silences, "answeredBefore" | "cut">;
  readonly guard: (work: Promise<unknown>) => Promise<void>;
  /** Another controller may be reached where this one is not. */
  readonly onDeaf: () => Promise<void>;
}

export interface MachineTroubles {
  readonly up: number;
  readonly heardNotReached: readonly string[];
  readonly silent: readonly string[];
  readonly zonesCut: readonly string[];
}

/** Finds machines, zones or all that have fallen silent or are not reached, and has them given up. */
export class Watch {
  /** When workers were last able to reach us without a gap. */
  private settledFrom: Micros;
  private readonly from: Micros;
  /** When machines were given up because nothing gets to them. */
  private givenUp: Micros[] = [];
  /** By zone, since when questions there have had no answer, and when one was last asked. */
  private readonly controls = new Map<string, { readonly since: Micros; readonly at: Micros }>();

  constructor(private readonly around: WatchAround) {
    this.from = around.context.clock.now();
    this.settledFrom = (this.from + SETTLE) as Micros;
  }

  /** For people: machines that nothing gets to or that have fallen silent, and zones cut off as a whole. */
  troubles(): MachineTroubles {
    const { block, clock, settings, options } = this.around.context;
    const late = clock.now() - settings.workers.report * options.silentReports;
    const up = [...block.machines.values()].filter(({ state }) => state === "up");
    return {
      up: up.length,
      heardNotReached: up.filter(({ reach }) => !isReached(reach)).map(({ name }) => name),
      silent: up.filter(({ lastHeard }) => lastHeard < late).map(({ name }) => name),
      zonesCut: [...this.around.rental.cutZones],
    };
  }

  /** After a gap of our own, everybody seems silent until what has arrived meanwhile is read. */
  settle(): void {
    this.settledFrom = Math.max(this.settledFrom, this.around.context.clock.now() + SETTLE) as Micros;
  }

  /**
   * Silence says nothing before everybody has been asked once; a zone that is cut off is asked again and again, and must
   * not keep it from being heard.
   */
  stillAsking(): void {
    const asked = (this.around.context.clock.now() + PROBE_TIME) as Micros;
    if (asked < this.from + SETTLE_MOST) this.settledFrom = Math.max(this.settledFrom, asked) as Micros;
  }

  /** Past its lease a worker has ended everything, whether or not it can be heard. */
  expire(): void {
    const { clock, settings } = this.around.context;
    const span = Math.ceil(settings.workers.lease * 1.002) + seconds(0.5);
    for (const machine of this.around.context.block.machines.values()) {
      if (machine.session === null) {
        const before = this.around.silences.answeredBefore(machine.zone);
        if (before !== null && before < machine.leaseBase) machine.leaseBase = before;
      }
      if (machine.leaseOver || clock.now() - machine.leaseBase <= span) continue;
      machine.leaseOver = true;
      // A message of the session that is over must not bring its tasks back into the picture.
      if (machine.session !== null) machine.staleSession = machine.session;
      this.around.observer.lost(machine, "worker lease over");
    }
  }

  /** A machine that misses its reports is probed, and given up if it does not answer: the cloud's answer to the
   * deletion is a far quicker proof that its tasks are gone than the end of its lease. */
  silence(): void {
    const { clock, settings, options, log, view } = this.around.context;
    const now = clock.now();
    if (now < this.settledFrom || now < this.wayAround()) return;
    const limit = settings.workers.report * options.silentReports;
    // One that is only known from the records, and by now should have been heard of, counts like one fallen silent.
    const up = [...this.around.context.block.machines.values()].filter(
      (machine) => (machine.state === "up" || machine.tasks.size > 0) && !machine.deleting,
    );
    const silent = up.filter((machine) => now - machine.lastHeard > limit);
    const newest = up.reduce((latest, machine) => Math.max(latest, machine.lastHeard), 0);
    const stateHeard = now - (view.freshAt ?? now) <= OWN_FAULT;
    if (up.length >= 3 && now - newest > limit && stateHeard) {
      // Not one of many: the workers cannot reach this controller, while another may well be reached. Their leases
      // run, and deleting them one by one, as they miss their reports, would end work that is going on.
      log.info("no machine heard, handing over", { machines: up.length });
      void this.around.guard(this.around.onDeaf());
      return;
    }
    let probes = 0;
    /** Zones in which somebody is being asked. */
    const asked = new Set<string>();
    // Those that are heard and do not answer are asked again and again: by that they are taken back.
    const unsure = up.filter(({ reach, lastHeard }) => reach.unanswered > 0 && now - lastHeard <= limit);
    for (const machine of unsure) {
      if (probes >= MAX_PROBES) break;
      if (now - machine.probed < (isReached(machine.reach) ? PROBE_TIME : PROBE_AGAIN)) continue;
      probes += 1;
      machine.probed = now;
      asked.add(machine.zone);
      void this.around.guard(this.around.commander.send(machine, true));
    }
    for (const machine of silent) {
      if (probes >= MAX_PROBES) break;
      if (machine.probed < machine.lastHeard) {
        probes += 1;
        machine.probed = now;
        asked.add(machine.zone);
        const probe =
          machine.session === null ? this.around.commander.inquire(machine) : this.around.commander.send(machine, true);
        void this.around.guard(probe);
      }
    }
    const unanswered = this.control(up, asked);
    // Where nobody at all has been heard since it was asked, the silence may be ours: with six machines one was given up
    // 3.6 s into a cut from all of them, before the cut was noticed.
    const dead = silent.filter(({ probed, lastHeard, zone }) => {
      if (probed < lastHeard || now - probed <= PROBE_TIME) return false;
      return up.length < FEWEST || (newest > probed && !unanswered.has(zone));
    });
    const silentZones = this.cutZones(up, limit);
    this.around.silences.cut(silentZones);
    // On record as not answered only where nobody is: from where nothing gets to, reports go on coming.
    const zones = new Set([...silentZones, ...this.unreachedZones(up, new Set(dead)), ...this.notReached()]);
    if (this.nothingReaches(up)) return;
    this.around.rental.cutZones = zones;
    this.unreached(up, zones);
    // When most are silent, or the state service is, too, the fault is more likely on our side. Those that have not
    // missed a report yet may just not have been due.
    const quiet = this.quietTime(up.length, limit);
    const own =
      dead.length > Math.max(2, up.length * OWN_SHARE) || !stateHeard || (up.length >= 3 && now - newest > quiet);
    if (dead.length === 0 || own) return;
    // Replicas in a zone that is cut off run on for as long as their worker's lease; the cut may well be over
    // before, and no proof that they are gone is worth ending them.
    const lost = dead.filter((machine) => machine.replicas === 0 || !zones.has(machine.zone));
    if (lost.length === 0) return;
    log.info("machines silent", { machines: lost.map((machine) => machine.name), cut: [...zones] });
    for (const machine of lost) {
      this.around.context.sink?.({ kind: "machine silent", span: settings.workers.lease, ...factsOf(machine) });
    }
    void this.around.guard(this.around.rental.remove(lost));
  }

  /**
   * A machine that does not answer says nothing while nobody else in its zone is known to: with each machine that is asked for
   * its silence, one that is heard is asked as well. All seven machines of a site whose reports came while nothing got
   * to them were given up one after the other. Returns the zones in which such questions are still open.
   */
  private control(up: readonly Machine[], asked: ReadonlySet<string>): ReadonlySet<string> {
    const { clock } = this.around.context;
    const now = clock.now();
    const latest = new Map<string, { answeredAt: number; heard: Machine; count: number }>();
    for (const machine of up) {
      const known = latest.get(machine.zone) ?? { answeredAt: 0, heard: machine, count: 0 };
      known.answeredAt = Math.max(known.answeredAt, machine.reach.answeredAt);
      if (machine.lastHeard > known.heard.lastHeard) known.heard = machine;
      known.count += 1;
      latest.set(machine.zone, known);
    }
    for (const [zone, { answeredAt, heard, count }] of latest) {
      const open = this.controls.get(zone);
      // With fewer machines there is nobody to compare with, also where there were more when the first one was asked: of a zone that
      // had come down to one machine, nobody was asked again, and it counted as cut off for ever.
      if (count < FEWEST || (open !== undefined && answeredAt > open.since)) this.controls.delete(zone);
      else if ((open !== undefined && now - open.at > PROBE_TIME) || (open === undefined && asked.has(zone))) {
        this.controls.set(zone, { since: open?.since ?? now, at: now });
        void this.around.guard(this.around.commander.send(heard, true));
      }
    }
    for (const zone of this.controls.keys()) if (!latest.has(zone)) this.controls.delete(zone);
    return new Set(this.controls.keys());
  }

  /** Zones of which nobody has answered several questions, whatever is heard from there. */
  private notReached(): readonly string[] {
    const now = this.around.context.clock.now();
    return [...this.controls].filter(([, { since }]) => now - since > UNREACHED_AFTER).map(([zone]) => zone);
  }

  /** Not one zone of several machines is reached: another controller may reach them. */
  private nothingReaches(up: readonly Machine[]): boolean {
    const zones = new Set(this.notReached());
    if (zones.size === 0 || up.some(({ zone }) => !zones.has(zone))) return false;
    const { log } = this.around.context;
    log.info("machines heard, none reached: handing over", { machines: up.length });
    void this.around.guard(this.around.onDeaf());
    return true;
  }

  /**
   * Machines that are heard and that nothing gets to, or whose leases nothing renews: deleting them is the fast proof that
   * their tasks are gone. Where many go at once it is a cut and no fault of theirs: the rest keeps what it runs until the
   * worker's lease is over, and whoever else holds the block may reach them.
   */
  private unreached(up: readonly Machine[], cut: ReadonlySet<string>): void {
    const { clock, settings, log } = this.around.context;
    const now = clock.now();
    // Other ways to them may open meanwhile, and reports that come by those show the answers' effect.
    const stands = settings.workers.report * LONGEST_REPORT + REPORT_PATIENCE + NEXT_NODE;
    const lost = up.filter(({ reach, unreachedSince, probed }) => {
      if (unreachedSince === null || (!isDeaf(reach) && answersReach(reach))) return false;
      // Where questions are answered that showed it, there is nothing to wait for.
      if (commandsReach(reach)) return true;
      // And not without a question of just now: after a pause of watching, the first look found what a cut had left behind.
      const asked = now - probed;
      return now - unreachedSince > stands && asked > PROBE_TIME && asked < 2 * PROBE_AGAIN;
    });
    if (lost.length === 0) return;
    if (lost.length > Math.max(2, up.length * OWN_SHARE)) {
      log.info("machines heard, none reached: handing over", { machines: lost.length });
      void this.around.guard(this.around.onDeaf());
      return;
    }
    this.givenUp = this.givenUp.filter((at) => now - at < settings.workers.lease);
    const most = Math.max(2, Math.ceil(up.length * GIVE_UP_SHARE)) - this.givenUp.length;
    const chosen = lost
      .filter((machine) => machine.replicas === 0 || !cut.has(machine.zone))
      .sort((a, b) => b.tasks.size - a.tasks.size)
      .slice(0, Math.max(0, most));
    if (chosen.length === 0) return;
    for (const machine of chosen) {
      this.givenUp.push(now);
      this.around.context.sink?.({ kind: "machine silent", span: settings.workers.lease, ...factsOf(machine) });
    }
    log.info("machines given up, not reached", { machines: chosen.map(({ name }) => name) });
    void this.around.guard(this.around.rental.remove(chosen));
  }

  /**
   * Workers that cannot reach this controller come to it through others, once their next report is due, has failed here
   * and has been tried there. Until then silence says nothing: three machines were given up that a sibling reached.
   */
  private wayAround(): Micros {
    const { deafChangedAt, settings } = this.around.context;
    const changed = deafChangedAt();
    if (changed === null) return 0 as Micros;
    return (changed + Math.ceil(settings.workers.report * LONGEST_REPORT) + REPORT_PATIENCE + NEXT_NODE) as Micros;
  }

  /** In which so many machines ought to have been heard several times. */
  private quietTime(machines: number, limit: number): number {
    return Math.min(limit, Math.max(CUT_LEAST, (CUT_REPORTS * this.around.context.settings.workers.report) / machines));
  }

  /** Zones to most of whose machines nothing gets, though reports may still come from there. */
  private unreachedZones(up: readonly Machine[], dead: ReadonlySet<Machine>): readonly string[] {
    const zones = new Map<string, { all: number; away: number }>();
    for (const machine of up) {
      if (machine.zone === "") continue;
      const known = zones.get(machine.zone) ?? { all: 0, away: 0 };
      zones.set(machine.zone, known);
      known.all += 1;
      if (dead.has(machine) || !isReached(machine.reach)) known.away += 1;
    }
    const cut = [...zones].filter(([, { all, away }]) => away >= FEWEST && away >= all * UNREACHED_SHARE);
    return cut.length === zones.size ? [] : cut.map(([zone]) => zone);
  }

  /** Zones of which nothing at all has been heard for a time in which many of their machines ought to have reported. */
  private cutZones(up: readonly Machine[], limit: number): ReadonlySet<string> {
    const { clock } = this.around.context;
    const zones = new Map<string, { machines: number; newest: Micros }>();
    for (const { zone, lastHeard } of up) {
      // Known from the records only: in no zone that anything could be concluded of.
      if (zone === "") continue;
      const known = zones.get(zone) ?? { machines: 0, newest: 0 as Micros };
      zones.set(zone, { machines: known.machines + 1, newest: Math.max(known.newest, lastHeard) as Micros });
    }
    const cut = [...zones].filter(([, { machines, newest }]) => {
      return machines >= 3 && clock.now() - newest > this.quietTime(machines, limit);
    });
    // Of nobody at all: then it is us who hear nothing.
    return new Set(cut.length === zones.size ? [] : cut.map(([zone]) => zone));
  }
}
