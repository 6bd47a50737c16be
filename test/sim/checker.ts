/**
 * Checks the protocol's rules against the actual tasks on machines and the responses that users received, independently
 * of the controllers' state.
 */
import type { Hearing, Odd } from "../../src/model/index.js";

/** A submitted job, as far as the rules concern it. */
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
  /** An invalid submission was accepted, or refused with the wrong status or without naming the missing field. */
  | "odd"
  /** Waits after the faults ended though an eligible machine has free capacity and its team is below its quota. */
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
  /** When a user first received the terminal phase, in microseconds; 0 before. */
  finalAt: number;
  final: "done" | "withdrawn" | null;
  cancelAsked: boolean;
  cancelledAt: number | null;
  lastGood: number;
  /** When its user first submitted it, in microseconds. */
  readonly submittedAt: number;
}

/** Microseconds without a status response, after all faults ended, until a job counts as lost. */
const FORGOTTEN_AFTER = 75_000_000;
/** Microseconds that a job may wait after the faults ended before it is checked for free capacity. */
const LEFT_AFTER = 90_000_000;
const LOOK_EVERY = 5_000_000;
/** Microseconds of free capacity at each look after which the waiting job is a violation. */
const ROOM_FOR = 20_000_000;
/** Longest time from submission until the first task of a job is on a machine, in microseconds. */
const LONGEST_WAIT = 240_000_000;
/** Share of the jobs of a class that count as its largest, by the total CPUs that they request. */
const LARGEST_SHARE = 0.1;

/** Checks the rules on every event; `tick` throws the first violation. */
export class Checker {
  readonly jobs = new Map<string, TrueJob>();
  private readonly told = new Map<string, Told>();
  /** Machines of each task, from the end of its image fetch until it exits, is killed or the machine is gone. */
  private readonly on = new Map<string, Set<TrueMachine>>();
  readonly finished = new Map<string, Set<string>>();
  private readonly polls: { at: number; good: boolean; job: string }[] = [];
  /** Cancelled jobs, ordered by the time at which their tasks must have ended. */
  private readonly cancelled: { readonly id: string; readonly until: number }[] = [];
  starts = 0;
  /** Starts of tasks after their cancellation was confirmed, and the longest time from confirmation to start. */
  readonly afterConfirmed = { starts: 0, longestUs: 0 };
  /** Whether a machine has free capacity for a task of the job; set by the owner of the cluster. */
  hasRoom: (job: TrueJob) => boolean = () => false;
  private nextLook = 0;
  /** Tasks that ended after their cancellation was confirmed, and the longest time from confirmation to end. */
  readonly afterCancelled = { longestUs: 0, tasks: 0 };
  /** When the last fault ended, in microseconds; set by the test that injects the faults. */
  calmFrom = Number.POSITIVE_INFINITY;
  /** When a task of each job was first on a machine. */
  private readonly everOn = new Map<string, number>();
  /** When each job was last seen with a task on a machine after the faults ended. */
  private readonly lastOn = new Map<string, number>();
  /** Since when each look has found free capacity for a job that has waited for long. */
  private readonly besideRoom = new Map<string, number>();
  private broken: BrokenRule | null = null;

  constructor(
    private readonly now: () => number,
    private readonly limits: ReadonlyMap<string, number>,
    private readonly cancelUs: number,
    /** Time after a confirmed cancellation in which a start may still arrive and fetch its image, in microseconds. */
    private readonly startUs = cancelUs,
  ) {}

  /** Records the violation for the next tick: most events arrive in callbacks, where an exception would be lost. */
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
    if (job === undefined) throw new Error(`task ${task} of an unknown job ${id} started`);
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
    // A controller knows all decisions older than a shard lease, so starts end long before the cancellation bound.
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

  /** Names of the machines that the task is on. */
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

  /** Checks the rules that depend on time; throws the first violation recorded so far. */
  tick(): void {
    if (this.broken !== null) throw this.broken;
    this.lookForLeft();
    // Each cancelled job is checked once, at its cancellation bound; `taskOn` checks later starts.
    for (let next = this.cancelled[0]; next !== undefined; next = this.cancelled[0]) {
      if (this.now() <= next.until) return;
      this.cancelled.shift();
      for (const task of this.on.keys()) {
        if (task.startsWith(`${next.id}/`)) this.break("ran_cancelled", task);
      }
    }
  }

  /** Checks that, after the faults ended, no job waits for long while there is free capacity for it. */
  private lookForLeft(): void {
    const now = this.now();
    if (now < this.nextLook || now < this.calmFrom + LEFT_AFTER) return;
    this.nextLook = now + LOOK_EVERY;
    for (const id of this.accepted()) {
      const job = this.jobs.get(id);
      const told = this.state(id);
      if (job === undefined || told.cancelAsked || told.final !== null) continue;
      if ((job.awaits ?? []).some((needed) => this.finalOf(needed) !== "done")) continue;
      // Jobs with zone constraints, gangs and services need more than free capacity for one task.
      if (job.service || job.spread || job.together || job.gang === true) continue;
      if ((this.finished.get(id)?.size ?? 0) >= job.tasks) continue;
      const placed = Array.from({ length: job.tasks }, (_, at) => `${id}/${at}`).some((task) => this.on.has(task));
      if (placed) this.lastOn.set(id, now);
      const free = (job.awaits ?? []).map((needed) => this.told.get(needed)?.finalAt ?? 0);
      const since = Math.max(this.calmFrom, told.submittedAt, this.lastOn.get(id) ?? 0, ...free);
      const waits = !placed && now - since > LEFT_AFTER;
      const limit = this.limits.get(job.team);
      const under = limit === undefined || this.used(job.team) + job.cpus <= limit;
      // Free capacity that the next job in the queue is about to use does not count.
      const beside = waits && under && this.hasRoom(job) ? (this.besideRoom.get(id) ?? now) : null;
      if (beside === null) this.besideRoom.delete(id);
      else this.besideRoom.set(id, beside);
      if (beside !== null && now - beside >= ROOM_FOR) this.break("left_waiting", id);
    }
  }

  /** CPUs of the tasks on the machine. */
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

  /** Receives the requests of the emulator's users and the responses to them. */
  readonly hearing: Hearing = {
    submitted: (id, status, phase, askedAt) => this.submitted(id, status, phase, askedAt),
    polled: (id, status, phase, askedAt) => this.polled(id, status, phase, askedAt),
    cancelAsked: (id) => this.cancelAsked(id),
    cancelAnswered: (id, status, phase) => this.cancelAnswered(id, status, phase),
    dropped: () => undefined,
    oddAnswered: (why, status, detail) => this.oddAnswered(why, status, detail),
  };

  /** Invalid submissions that received a final response. */
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
    // Sent before the terminal phase was received: a slow controller may respond with an earlier phase.
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
        // A job submitted after that cancellation has the whole bound from its submission on.
        const from = since === null ? now : Math.max(since, told.submittedAt);
        if (now - from > this.cancelUs)
          this.break("orphaned", `${id} is ${phase} past the cancellation bound of a dependency`);
      }
      if (phase !== null) this.phase(id, told, phase);
    } else if (told.accepted && now - Math.max(told.lastGood, this.calmFrom) > FORGOTTEN_AFTER) {
      this.break("forgotten", `${id}: no status response for 75 s after the faults ended`);
    } else if (told.accepted && now - told.lastGood > 90_000_000) {
      const others = this.polls.filter((poll) => poll.job !== id);
      if (others.length > 10 && others.filter((poll) => poll.good).length > others.length / 2) {
        this.break("forgotten", `${id}: no status response for 90 s, while most other jobs got one`);
      }
    }
  }

  private phase(id: string, told: Told, phase: string): void {
    if (told.final !== null && phase !== told.final) this.break("went_back", `${id}: ${told.final} to ${phase}`);
    if (phase === "withdrawn" || phase === "done") {
      if (told.final === null) told.finalAt = this.now();
    }
    if (phase === "withdrawn") {
      if (!told.cancelAsked && !this.needsCancelled(id))
        this.break("went_back", `${id}: withdrawn without a cancellation request`);
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

  /** The job's dependencies, direct and transitive. */
  private needsOf(id: string): readonly Told[] {
    const seen = new Set([id]);
    for (const next of seen) for (const needed of this.jobs.get(next)?.awaits ?? []) seen.add(needed);
    seen.delete(id);
    return [...seen].flatMap((needed) => this.told.get(needed) ?? []);
  }

  /** Whether cancellation of an unfinished dependency was requested. */
  private needsCancelled(id: string): boolean {
    return this.needsOf(id).some(({ cancelAsked, final }) => cancelAsked && final !== "done");
  }

  /** When the cancellation of a dependency was first confirmed to a user; null if none was. */
  private neededCancelledAt(id: string): number | null {
    const times = this.needsOf(id).flatMap(({ cancelledAt }) => cancelledAt ?? []);
    return times.length === 0 ? null : Math.min(...times);
  }

  /** Accepted jobs that are not cancelled, each with whether it is among the largest of its class. */
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
    // The smallest size within the largest tenth; all jobs of that size count as largest.
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

  /** The largest jobs of each class of which no task was on a machine within `LONGEST_WAIT`. */
  lateLargest(): string[] {
    return this.wanted()
      .filter(({ job, told, largest }) => {
        const begun = this.everOn.get(job.id) ?? this.now();
        const free = (job.awaits ?? []).map((needed) => this.told.get(needed)?.finalAt ?? 0);
        return largest && begun - Math.max(told.submittedAt, ...free) > LONGEST_WAIT;
      })
      .map(({ job }) => job.id);
  }

  /** Seconds from the first submission to the first task on a machine, for each of the largest jobs. */
  waitsOfLargest(): ReadonlyMap<string, number> {
    return new Map(
      this.wanted().flatMap(({ job, told, largest }) => {
        const begun = this.everOn.get(job.id);
        return largest && begun !== undefined ? [[job.id, (begun - told.submittedAt) / 1e6] as const] : [];
      }),
    );
  }

  /**
   * Shares of the accepted, not cancelled jobs by class, by team and among the largest of each class: `begun` have had
   * a task on a machine; of `done` all tasks have completed (for services: a task has been on a machine).
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

  /** Names of the groups of `served` of which less than half is done. */
  starved(): string[] {
    return [...this.served()].filter(([, { done }]) => done < 0.5).map(([name]) => name);
  }

  /** When a user last received a response about the job, in microseconds. */
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
