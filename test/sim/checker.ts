import type { Hearing, Odd } from "../../src/model/index.js";

/** The truth about jobs, machines and what users were told; knows nothing of what the controllers think. */
export interface TrueJob {
  readonly id: string;
  readonly team: string;
  readonly service: boolean;
  readonly tasks: number;
  readonly cpus: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly together: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly jobClass: string;
  readonly gang?: boolean;
  readonly awaits?: readonly string[];
}

export interface TrueMachine {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

export type Rule =
  | "ran_twice"
  | "quota"
  | "wrong_place"
  | "ran_cancelled"
  | "forgotten"
  | "invented"
  | "not_done"
  | "went_back"
  | "too_early"
  | "orphaned"
  /** Accepted though it can never run or lacks a field, or refused for another reason. */
  | "odd"
  /** Waits in the calm though a machine that fits has room and its team is under its limit. */
  | "left_waiting";

export class BrokenRule extends Error {
  constructor(
    readonly rule: Rule,
    detail: string,
  ) {
    super(`${rule}: ${detail}`);
  }
}

interface Told {
  accepted: boolean;
  /** When its last word was first heard; 0 before. */
  finalAt: number;
  final: "done" | "withdrawn" | null;
  cancelAsked: boolean;
  cancelledAt: number | null;
  lastGood: number;
  /** When its user first asked to have it run. */
  readonly submittedAt: number;
}

/** Without an answer for so long once all troubles are over, a job is forgotten, however others fare. */
const FORGOTTEN_AFTER = 75_000_000;
/** So long a job may wait in the calm beside room for it; looked for so often. */
const LEFT_AFTER = 90_000_000;
const LOOK_EVERY = 5_000_000;
const ROOM_FOR = 20_000_000;
/** So long at most until the first task of a job is on a machine. */
const LONGEST_WAIT = 240_000_000;
/** Of a class's jobs, the largest by all the CPUs that they ask for. */
const LARGEST_SHARE = 0.1;

/** Checks the rules of the protocol on every event; throws at the first that is broken. */
export class Checker {
  readonly jobs = new Map<string, TrueJob>();
  private readonly told = new Map<string, Told>();
  /** By task, where it is: from having its image until it exits, is killed or the machine is gone. */
  private readonly on = new Map<string, Set<TrueMachine>>();
  readonly finished = new Map<string, Set<string>>();
  private readonly polls: { at: number; good: boolean; job: string }[] = [];
  /** Cancelled jobs in the order in which the time of their tasks is over. */
  private readonly cancelled: { readonly id: string; readonly until: number }[] = [];
  starts = 0;
  /** Starts of tasks whose cancellation had been confirmed before, and the longest from one to the other. */
  readonly afterConfirmed = { starts: 0, longestUs: 0 };
  /** Machines with room for such a task now, asked where a job has waited for long; set by whoever knows. */
  hasRoom: (job: TrueJob) => boolean = () => false;
  private nextLook = 0;
  /** The longest from a confirmed from a confirmed cancellation until a task of that job was gone, and how many went after theirs. */
  readonly afterCancelled = { longestUs: 0, tasks: 0 };
  /** From now on nothing troubles the site; set by whoever made the troubles. */
  calmFrom = Number.POSITIVE_INFINITY;
  /** When a task of the job was first on a machine. */
  private readonly everOn = new Map<string, number>();
  /** When the job was last seen with a task on a machine, in the calm. */
  private readonly lastOn = new Map<string, number>();
  /** Since when there has been room at each look beside a job that has waited for long. */
  private readonly besideRoom = new Map<string, number>();
  private broken: BrokenRule | null = null;

  constructor(
    private readonly now: () => number,
    private readonly limits: ReadonlyMap<string, number>,
    private readonly cancelUs: number,
    /** From a confirmed cancellation on, until a start of the job may still reach a machine and have its image there. */
    private readonly startUs = cancelUs,
  ) {}

  /** Kept for the next tick: most of what is seen here is seen in callbacks, where an exception would get lost. */
  private break(rule: Rule, detail: string): void {
    this.broken ??= new BrokenRule(rule, detail);
  }

  private state(id: string): Told {
    const known = this.told.get(id) ?? {
      accepted: false,
      finalAt: 0,
      final: null,
      cancelAsked: false,
      cancelledAt: null,
      lastGood: this.now(),
      submittedAt: this.now(),
    };
    this.told.set(id, known);
    return known;
  }

  taskOn(task: string, machine: TrueMachine): void {
    const id = task.slice(0, task.lastIndexOf("/"));
    const job = this.jobs.get(id);
    if (job === undefined) throw new Error(`no such job ${id}`);
    this.starts += 1;
    for (const needed of job.awaits ?? []) {
      const all = this.jobs.get(needed)?.tasks ?? Number.POSITIVE_INFINITY;
      if ((this.finished.get(needed)?.size ?? 0) < all) this.break("too_early", `${task} before ${needed}`);
    }
    if (!this.everOn.has(id)) this.everOn.set(id, this.now());
    const places = this.on.get(task) ?? new Set();
    if (places.size > 0) this.break("ran_twice", `${task} on ${machine.name} and ${[...places][0]?.name}`);
    this.place(job, machine);
    places.add(machine);
    this.on.set(task, places);
    const limit = this.limits.get(job.team);
    if (limit !== undefined && this.used(job.team) > limit) this.break("quota", `${job.team} with ${task}`);
    const { cancelledAt } = this.state(id);
    if (cancelledAt === null) return;
    const since = this.now() - cancelledAt;
    this.afterConfirmed.starts += 1;
    this.afterConfirmed.longestUs = Math.max(this.afterConfirmed.longestUs, since);
    // Whoever starts something knows what was decided up to a right ago: long before all of it has to be gone.
    if (since > Math.min(this.cancelUs, this.startUs)) this.break("ran_cancelled", `${task} started`);
  }

  taskOff(task: string, machine: TrueMachine): void {
    const places = this.on.get(task);
    const was = places?.delete(machine) === true;
    const cancelledAt = this.told.get(task.slice(0, task.lastIndexOf("/")))?.cancelledAt ?? null;
    if (was && cancelledAt !== null) {
      this.afterCancelled.tasks += 1;
      this.afterCancelled.longestUs = Math.max(this.afterCancelled.longestUs, this.now() - cancelledAt);
    }
    if (places?.size === 0) this.on.delete(task);
  }

  taskDone(task: string): void {
    const id = task.slice(0, task.lastIndexOf("/"));
    const done = this.finished.get(id) ?? new Set();
    done.add(task);
    this.finished.set(id, done);
  }

  isOn(task: string): boolean {
    return this.on.has(task);
  }

  /** Names of the machines that it is on. */
  placesOf(task: string): readonly string[] {
    return [...(this.on.get(task) ?? [])].map(({ name }) => name);
  }

  private used(team: string): number {
    let sum = 0;
    for (const [task, places] of this.on) {
      const job = this.jobs.get(task.slice(0, task.lastIndexOf("/")));
      if (job?.team === team) sum += job.cpus * places.size;
    }
    return sum;
  }

  private place(job: TrueJob, machine: TrueMachine): void {
    const wrong = (why: string): void => {
      this.break("wrong_place", `${job.id} on ${machine.name}: ${why}`);
    };
    if (job.types !== null && !job.types.includes(machine.type)) wrong("type");
    if (job.zone !== null && job.zone !== machine.zone) wrong("zone");
    if (machine.spot && !job.spot) wrong("spot");
    let here = 1;
    for (const [task, places] of this.on) {
      if (task.slice(0, task.lastIndexOf("/")) !== job.id) continue;
      for (const place of places) {
        if (place.zone === machine.zone) here += 1;
        else if (job.together) wrong("together");
      }
    }
    if (job.spread && here > Math.ceil(job.tasks / 2)) wrong("spread");
  }

  /** Time may break a rule, too. */
  tick(): void {
    if (this.broken !== null) throw this.broken;
    this.lookForLeft();
    // Each cancelled job is looked at once, when its time is over; a later start is noticed when it happens.
    for (let next = this.cancelled[0]; next !== undefined; next = this.cancelled[0]) {
      if (this.now() <= next.until) return;
      this.cancelled.shift();
      for (const task of this.on.keys()) {
        if (task.startsWith(`${next.id}/`)) this.break("ran_cancelled", task);
      }
    }
  }

  /** In the calm nobody waits for long beside room. */
  private lookForLeft(): void {
    const now = this.now();
    if (now < this.nextLook || now < this.calmFrom + LEFT_AFTER) return;
    this.nextLook = now + LOOK_EVERY;
    for (const id of this.accepted()) {
      const job = this.jobs.get(id);
      const told = this.state(id);
      if (job === undefined || told.cancelAsked || told.final !== null) continue;
      if ((job.awaits ?? []).some((needed) => this.finalOf(needed) !== "done")) continue;
      // Zones, gangs and replicas have rules of their own, by which room for one task may not do.
      if (job.service || job.spread || job.together || job.gang === true) continue;
      if ((this.finished.get(id)?.size ?? 0) >= job.tasks) continue;
      const placed = Array.from({ length: job.tasks }, (_, at) => `${id}/${at}`).some((task) => this.on.has(task));
      if (placed) this.lastOn.set(id, now);
      const free = (job.awaits ?? []).map((needed) => this.told.get(needed)?.finalAt ?? 0);
      const since = Math.max(this.calmFrom, told.submittedAt, this.lastOn.get(id) ?? 0, ...free);
      const waits = !placed && now - since > LEFT_AFTER;
      const limit = this.limits.get(job.team);
      const under = limit === undefined || this.used(job.team) + job.cpus <= limit;
      // Room that the next in a queue is about to take is none.
      const beside = waits && under && this.hasRoom(job) ? (this.besideRoom.get(id) ?? now) : null;
      if (beside === null) this.besideRoom.delete(id);
      else this.besideRoom.set(id, beside);
      if (beside !== null && now - beside >= ROOM_FOR) this.break("left_waiting", id);
    }
  }

  /** What is on that machine now, in CPUs. */
  cpusOn(machine: string): number {
    let sum = 0;
    for (const [task, places] of this.on) {
      if (![...places].some(({ name }) => name === machine)) continue;
      sum += this.jobs.get(task.slice(0, task.lastIndexOf("/")))?.cpus ?? 0;
    }
    return sum;
  }

  submitted(id: string, status: number, phase: string | null, askedAt = this.now()): void {
    const told = this.state(id);
    if (askedAt < told.finalAt) return;
    if (told.accepted && (status === 400 || status === 422)) this.break("forgotten", `${id}: ${status}`);
    if (status !== 200 && status !== 201) return;
    told.accepted = true;
    told.lastGood = this.now();
    if (phase !== null) this.phase(id, told, phase);
  }

  /** What users ask and hear, for the emulator's users. */
  readonly hearing: Hearing = {
    submitted: (id, status, phase, askedAt) => this.submitted(id, status, phase, askedAt),
    polled: (id, status, phase, askedAt) => this.polled(id, status, phase, askedAt),
    cancelAsked: (id) => this.cancelAsked(id),
    cancelAnswered: (id, status, phase) => this.cancelAnswered(id, status, phase),
    dropped: () => undefined,
    oddAnswered: (why, status, detail) => this.oddAnswered(why, status, detail),
  };

  /** Odd submissions that were answered for good. */
  oddRefused = 0;

  oddAnswered(why: Odd, status: number, detail: string): void {
    if (status === 429 || status === 503) return;
    const wanted = why === "lacks a field" ? 400 : 422;
    const named = why !== "lacks a field" || detail.includes("cpus");
    if (status !== wanted || !named) this.break("odd", `${why}: ${status} ${detail}`);
    this.oddRefused += 1;
  }

  cancelAsked(id: string): void {
    this.state(id).cancelAsked = true;
  }

  cancelAnswered(id: string, status: number, phase: string | null): void {
    const told = this.state(id);
    if (status === 404 && told.accepted) this.break("forgotten", `${id}: abort got 404`);
    if (status === 200 && phase !== null) this.phase(id, told, phase);
  }

  polled(id: string, status: number | null, phase: string | null, askedAt = this.now()): void {
    const told = this.state(id);
    // Asked before the last word was heard: on a slow controller the answer may be from before it, too.
    if (askedAt < told.finalAt) return;
    const now = this.now();
    this.polls.push({ at: now, good: status === 200 || status === 404, job: id });
    while ((this.polls[0]?.at ?? now) < now - 90_000_000) this.polls.shift();
    if (status === 404 && told.accepted) this.break("forgotten", `${id}: 404`);
    if (status === 200) {
      if (!this.jobs.has(id)) this.break("invented", id);
      told.lastGood = now;
      if (phase === "pending" || phase === "running") {
        const since = this.neededCancelledAt(id);
        // Accepted later, it has its whole time from then on.
        const from = since === null ? now : Math.max(since, told.submittedAt);
        if (now - from > this.cancelUs) this.break("orphaned", `${id} is ${phase}`);
      }
      if (phase !== null) this.phase(id, told, phase);
    } else if (told.accepted && now - Math.max(told.lastGood, this.calmFrom) > FORGOTTEN_AFTER) {
      this.break("forgotten", `${id}: no answer for 75 s of calm`);
    } else if (told.accepted && now - told.lastGood > 90_000_000) {
      const others = this.polls.filter((poll) => poll.job !== id);
      if (others.length > 10 && others.filter((poll) => poll.good).length > others.length / 2) {
        this.break("forgotten", `${id}: no answer for 90 s`);
      }
    }
  }

  private phase(id: string, told: Told, phase: string): void {
    if (told.final !== null && phase !== told.final) this.break("went_back", `${id}: ${told.final} to ${phase}`);
    if (phase === "withdrawn" || phase === "done") {
      if (told.final === null) told.finalAt = this.now();
    }
    if (phase === "withdrawn") {
      if (!told.cancelAsked && !this.needsCancelled(id)) this.break("went_back", `${id}: cancelled by nobody`);
      if (told.cancelledAt === null) {
        told.cancelledAt = this.now();
        this.cancelled.push({ id, until: this.now() + this.cancelUs });
      }
      told.final = phase;
    }
    if (phase === "done") {
      const job = this.jobs.get(id);
      if ((this.finished.get(id)?.size ?? 0) < (job?.tasks ?? 0) || job?.service === true) {
        this.break("not_done", id);
      }
      told.final = phase;
    }
  }

  /** What it needs, directly or through others. */
  private needsOf(id: string): readonly Told[] {
    const seen = new Set([id]);
    for (const next of seen) for (const needed of this.jobs.get(next)?.awaits ?? []) seen.add(needed);
    seen.delete(id);
    return [...seen].flatMap((needed) => this.told.get(needed) ?? []);
  }

  /** Did somebody ask to cancel a job that it needs? */
  private needsCancelled(id: string): boolean {
    return this.needsOf(id).some(({ cancelAsked, final }) => cancelAsked && final !== "done");
  }

  /** When a user was first told that a job which this one needs is withdrawn; null: none was. */
  private neededCancelledAt(id: string): number | null {
    const times = this.needsOf(id).flatMap(({ cancelledAt }) => cancelledAt ?? []);
    return times.length === 0 ? null : Math.min(...times);
  }

  /** Accepted jobs that their users have not cancelled, the largest of each class among them. */
  private wanted(): { readonly job: TrueJob; readonly told: Told; readonly largest: boolean }[] {
    const jobs = this.accepted().flatMap((id) => {
      const job = this.jobs.get(id);
      const told = this.state(id);
      return job === undefined || told.cancelAsked || this.needsCancelled(id) ? [] : [{ job, told }];
    });
    const sizes = new Map<string, number[]>();
    for (const { job } of jobs) {
      const known = sizes.get(job.jobClass) ?? [];
      known.push(job.cpus * job.tasks);
      sizes.set(job.jobClass, known);
    }
    // The smallest size that still belongs to the largest tenth; all of one size are equals.
    const least = new Map(
      [...sizes].map(([name, all]) => {
        const sorted = all.sort((a, b) => b - a);
        return [name, sorted[Math.max(0, Math.ceil(sorted.length * LARGEST_SHARE) - 1)] ?? 0];
      }),
    );
    return jobs.map(({ job, told }) => {
      return { job, told, largest: job.cpus * job.tasks >= (least.get(job.jobClass) ?? 0) };
    });
  }

  /** Of the largest jobs of each class, those of which no task was on a machine within four minutes. */
  lateLargest(): string[] {
    return this.wanted()
      .filter(({ job, told, largest }) => {
        const begun = this.everOn.get(job.id) ?? this.now();
        const free = (job.awaits ?? []).map((needed) => this.told.get(needed)?.finalAt ?? 0);
        return largest && begun - Math.max(told.submittedAt, ...free) > LONGEST_WAIT;
      })
      .map(({ job }) => job.id);
  }

  /** Seconds from the first try at submission to the first task on a machine, of each of the largest jobs. */
  waitsOfLargest(): ReadonlyMap<string, number> {
    return new Map(
      this.wanted().flatMap(({ job, told, largest }) => {
        const begun = this.everOn.get(job.id);
        return largest && begun !== undefined ? [[job.id, (begun - told.submittedAt) / 1e6] as const] : [];
      }),
    );
  }

  /**
   * By class, by team and by the largest jobs of each class, of the accepted jobs that their users have not cancelled: the share that has had a task on a
   * machine, and the share of which all tasks have completed (services: a task has been on a machine).
   */
  served(): ReadonlyMap<string, { readonly jobs: number; readonly begun: number; readonly done: number }> {
    const groups = new Map<string, { jobs: number; begun: number; done: number }>();
    for (const { job, largest } of this.wanted()) {
      const begun = this.everOn.has(job.id);
      const done = job.service ? begun : this.finished.get(job.id)?.size === job.tasks;
      const names = [`class ${job.jobClass}`, `team ${job.team}`];
      if (largest) names.push(`largest of ${job.jobClass}`);
      for (const name of names) {
        const group = groups.get(name) ?? { jobs: 0, begun: 0, done: 0 };
        groups.set(name, { jobs: group.jobs + 1, begun: group.begun + Number(begun), done: group.done + Number(done) });
      }
    }
    return new Map(
      [...groups].map(([name, { jobs, begun, done }]) => [name, { jobs, begun: begun / jobs, done: done / jobs }]),
    );
  }

  /** Less than half of it done: names of the classes, teams and largest jobs that come away with too little. */
  starved(): string[] {
    return [...this.served()].filter(([, { done }]) => done < 0.5).map(([name]) => name);
  }

  /** When a question about it was last answered. */
  answeredAt(id: string): number {
    return this.state(id).lastGood;
  }

  accepted(): string[] {
    return [...this.told].filter(([, told]) => told.accepted).map(([id]) => id);
  }

  finalOf(id: string): string | null {
    return this.told.get(id)?.final ?? null;
  }
}
