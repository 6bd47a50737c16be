import type { Behaviour, HostInfo } from "../model/index.js";
import type { MachineTrouble, SubmitEvent, TraceEvent } from "./format.js";
import type { Stage } from "./stage.js";

/** An event that the replay could not carry out as it stands, and what became of it. */
export interface Unmatched {
  readonly at: number;
  readonly event: string;
  readonly about: string;
  readonly why: string;
}

/** A machine that is still booting in the replay when trouble is due may yet come: so long it is waited for. */
const COUNTERPART_WAIT = 30_000_000;
const COUNTERPART_LOOK = 1_000_000;

/**
 * Finds for each machine of the trace the one in the replay that stands for it: itself, if there is one of that name
 * and kind; else the first of its type, kind and zone that stands for none yet; else one of its type and kind in
 * another zone; else one of its type. Once chosen it stays chosen.
 */
export class Counterparts {
  private readonly chosen = new Map<string, string>();
  private readonly taken = new Set<string>();

  find(
    wanted: { machine: string; type: string; zone: string; spot: boolean },
    up: readonly HostInfo[],
  ): HostInfo | null {
    const before = this.chosen.get(wanted.machine);
    if (before !== undefined) return up.find(({ name }) => name === before) ?? null;
    const same = (host: HostInfo): boolean => host.type === wanted.type && host.spot === wanted.spot;
    const free = up.filter(({ name }) => !this.taken.has(name));
    const found =
      free.find((host) => host.name === wanted.machine && same(host) && host.zone === wanted.zone) ??
      free.find((host) => same(host) && host.zone === wanted.zone) ??
      free.find(same) ??
      free.find(({ type }) => type === wanted.type) ??
      null;
    if (found === null) return null;
    this.chosen.set(wanted.machine, found.name);
    this.taken.add(found.name);
    return found;
  }
}

const behaviourOf = (event: SubmitEvent): Partial<Behaviour> => ({
  ...(event.runUs === undefined ? {} : { runUs: event.runUs }),
  ...(event.runsUs === undefined
    ? {}
    : { runsUs: new Map(Object.entries(event.runsUs).map(([index, time]) => [Number(index), time])) }),
  ...(event.fails === true ? { failsAlways: true } : {}),
});

/** Plays a trace's events on a stage, each at its time. */
export class Player {
  readonly unmatched: Unmatched[] = [];
  private readonly counterparts = new Counterparts();
  private next = 0;
  private readonly submitted = new Set<string>();
  private readonly timeline: readonly TraceEvent[];
  /** Submissions that wait for the ends of others, and of how many. */
  private readonly waiting = new Map<string, { readonly event: SubmitEvent; left: number }>();
  private readonly followers = new Map<string, string[]>();
  private readonly ended = new Set<string>();

  /** `onPlayed`: told of each event that was carried out, with the machine that it fell on. */
  constructor(
    private readonly stage: Stage,
    events: readonly TraceEvent[],
    private readonly onPlayed: (event: TraceEvent, on: HostInfo | null) => void = () => undefined,
  ) {
    const refs = new Set(events.flatMap((event) => (event.event === "submit" ? [event.job.ref] : [])));
    this.timeline = events.filter((event) => !(event.event === "submit" && this.holdBack(event, refs)));
  }

  /** Nothing more is to come but what waits for others to end. */
  get finished(): boolean {
    return this.next >= this.timeline.length;
  }

  /** Submissions that wait for the ends of others. */
  get held(): number {
    return this.waiting.size;
  }

  /** Told by whoever keeps the books, once for each job. */
  jobEnded(job: string): void {
    if (this.ended.has(job)) return;
    this.ended.add(job);
    for (const follower of this.followers.get(job) ?? []) this.release(follower);
    this.followers.delete(job);
  }

  /** Whether it waits for others of the trace, instead of for its own time. */
  private holdBack(event: SubmitEvent, refs: ReadonlySet<string>): boolean {
    const after = [...new Set(event.after ?? [])].filter((job) => refs.has(job) && job !== event.job.ref);
    if (after.length === 0) return false;
    this.waiting.set(event.job.ref, { event, left: after.length });
    for (const job of after) this.followers.set(job, [...(this.followers.get(job) ?? []), event.job.ref]);
    return true;
  }

  private release(job: string): void {
    const held = this.waiting.get(job);
    if (held === undefined) return;
    held.left -= 1;
    if (held.left > 0) return;
    this.stage.after(held.event.pauseUs ?? 0, () => {
      if (!this.waiting.delete(job)) return;
      this.play({ ...held.event, at: Math.round(this.stage.now) });
    });
  }

  /** One event ahead is in the queue at a time: a day of a million would not fit. */
  start(): void {
    this.step();
  }

  private step(): void {
    for (let event = this.timeline[this.next]; event !== undefined; event = this.timeline[this.next]) {
      if (event.at > this.stage.now) {
        this.stage.after(event.at - this.stage.now, () => this.step());
        return;
      }
      this.next += 1;
      this.play(event);
    }
  }

  private play(event: TraceEvent): void {
    const { stage } = this;
    switch (event.event) {
      case "submit":
        this.submitted.add(event.job.ref);
        stage.submit(event.job, behaviourOf(event));
        break;
      case "abort":
        if (this.waiting.delete(event.job)) {
          // Withdrawn before its turn came: what waits for it goes on without it.
          this.jobEnded(event.job);
          break;
        }
        if (!this.submitted.has(event.job)) {
          this.miss(event, event.job, "its job is not in the trace");
          return;
        }
        stage.cancel(event.job);
        break;
      case "boots_refused":
        stage.refuse(event.type, event.zone, event.spot, event.forUs);
        break;
      case "cloud_outage":
        stage.cloudOutage(event.forUs);
        break;
      case "state_outage":
        stage.stateOutage(event.forUs);
        break;
      case "controller_end":
        stage.controllerEnd(event.controller, event.backAfterUs);
        break;
      case "task_end":
      case "follows":
      case "machine_up":
        return;
      case "machine_down":
        if (event.why !== "deleted") this.onMachine(event, event.at + COUNTERPART_WAIT);
        return;
      case "machine_drain":
      case "machine_notice":
      case "machine_silent":
      case "machine_faulty":
        this.onMachine(event, event.at + COUNTERPART_WAIT);
        return;
    }
    this.onPlayed(event, null);
  }

  private miss(event: TraceEvent, about: string, why: string): void {
    this.unmatched.push({ at: event.at, event: event.event, about, why });
  }

  private onMachine(event: MachineTrouble, until: number): void {
    const { stage } = this;
    const host = this.counterparts.find(event, stage.machines());
    if (host === null) {
      if (stage.now + COUNTERPART_LOOK <= until) {
        stage.after(COUNTERPART_LOOK, () => this.onMachine(event, until));
        return;
      }
      this.miss(event, event.machine, `no ${event.spot ? "spot" : "ordinary"} ${event.type} up to stand for it`);
      return;
    }
    switch (event.event) {
      case "machine_down":
        if (event.why !== "deleted") stage.take(host.name, event.why);
        break;
      case "machine_drain":
      case "machine_notice":
        stage.notice(host.name, event.withinUs);
        stage.after(event.withinUs, () => stage.take(host.name, "taken"));
        break;
      case "machine_silent":
        stage.silent(host.name, event.forUs);
        break;
      case "machine_faulty":
        stage.faulty(host.name);
        break;
      case "machine_up":
    }
    const { name: machine, type, zone, spot } = host;
    this.onPlayed({ ...event, at: Math.round(stage.now), machine, type, zone, spot }, host);
  }
}
