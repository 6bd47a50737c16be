/**
 * Checks the protocol's rules against the actual tasks on machines and the responses that users received, independently
 * of the controllers' state.
 */
import type { SubmissionFault, UserObserver } from "../../src/model/index.js";

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

/** A machine as the emulated cloud runs it. */
export interface TrueMachine {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Rules that the checker enforces. */
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

/** A violation; the message is the rule and the job, task or team concerned. */
export class RuleViolation extends Error {
  constructor(
    readonly rule: Rule,
    detail: string,
  ) {
    super(`${rule}: ${detail}`);
  }
}

/** Requests of users about one job and the responses that they received. */
interface UserView {
  accepted: boolean;
  /** When a user first received the terminal phase, in microseconds; 0 before. */
  finalAt: number;
  final: "done" | "withdrawn" | null;
  cancelAsked: boolean;
  cancelledAt: number | null;
  lastAnsweredAt: number;
  /** When its user first submitted it, in microseconds. */
  readonly submittedAt: number;
}

/** Microseconds without a status response, after all faults ended, until a job counts as lost. */
const LOST_AFTER_US = 75_000_000;
/** Microseconds that a job may wait after the faults ended before it is checked for free capacity. */
const MAX_WAIT_US = 90_000_000;
const CHECK_INTERVAL_US = 5_000_000;
/** Microseconds of free capacity at each look after which the waiting job is a violation. */
const FREE_CAPACITY_US = 20_000_000;
/** Longest time from submission until the first task of a job is on a machine, in microseconds. */
const MAX_START_DELAY_US = 240_000_000;
/** Share of the jobs of a class that count as its largest, by the total CPUs that they request. */
const LARGEST_SHARE = 0.1;

/** Checks the rules on every event; `tick` throws the first violation. */
export class Checker {
  readonly jobs = new Map<string, TrueJob>();
  private readonly views = new Map<string, UserView>();
  /** Machines of each task, from the end of its image fetch until it exits, is killed or the machine is gone. */
  private readonly machinesByTask = new Map<string, Set<TrueMachine>>();
  readonly finished = new Map<string, Set<string>>();
  private readonly polls: { at: number; good: boolean; job: string }[] = [];
  /** Cancelled jobs, ordered by the time at which their tasks must have ended. */
  private readonly cancellationDeadlines: { readonly id: string; readonly until: number }[] = [];
  starts = 0;
  /** Starts of tasks after their cancellation was confirmed, and the longest time from confirmation to start. */
  readonly afterConfirmed = { starts: 0, longestUs: 0 };
  /** Whether a machine has free capacity for a task of the job; set by the owner of the cluster. */
  hasRoom: (job: TrueJob) => boolean = () => false;
  private nextCheckAt = 0;
  /** Tasks that ended after their cancellation was confirmed, and the longest time from confirmation to end. */
  readonly afterCancelled = { longestUs: 0, tasks: 0 };
  /** When the last fault ended, in microseconds; set by the test that injects the faults. */
  faultsEndedAt = Number.POSITIVE_INFINITY;
  /** When a task of each job was first on a machine. */
  private readonly firstPlacedAt = new Map<string, number>();
  /** When each job was last seen with a task on a machine after the faults ended. */
  private readonly lastPlacedAt = new Map<string, number>();
  /** Since when each look has found free capacity for a job that has waited for long. */
  private readonly freeCapacitySince = new Map<string, number>();
  private violation: RuleViolation | null = null;

  constructor(
    private readonly now: () => number,
    private readonly limits: ReadonlyMap<string, number>,
    private readonly cancelUs: number,
    /** Time after a confirmed cancellation in which a start may still arrive and fetch its image, in microseconds. */
    private readonly startUs = cancelUs,
  ) {}

  /** Records the violation for the next tick: most events arrive in callbacks, where an exception would be lost. */
  private recordViolation(rule: Rule, detail: string): void {
    this.violation ??= new RuleViolation(rule, detail);
  }

  private viewOf(id: string): UserView {
    const known = this.views.get(id) ?? {
      accepted: false,
      finalAt: 0,
      final: null,
      cancelAsked: false,
      cancelledAt: null,
      lastAnsweredAt: this.now(),
      submittedAt: this.now(),
    };
    this.views.set(id, known);
    return known;
  }

  taskOn(task: string, machine: TrueMachine): void {
    const id = task.slice(0, task.lastIndexOf("/"));
    const job = this.jobs.get(id);
    if (job === undefined) throw new Error(`a task of an unknown job started: ${id}`);
    this.starts += 1;
    for (const needed of job.awaits ?? []) {
      const all = this.jobs.get(needed)?.tasks ?? Number.POSITIVE_INFINITY;
      if ((this.finished.get(needed)?.size ?? 0) < all) this.recordViolation("too_early", `${task} before ${needed}`);
    }
    if (!this.firstPlacedAt.has(id)) this.firstPlacedAt.set(id, this.now());
    const machines = this.machinesByTask.get(task) ?? new Set();
    if (machines.size > 0)
      this.recordViolation("ran_twice", `${task} on ${machine.name} and ${[...machines][0]?.name}`);
    this.checkPlacement(job, machine);
    machines.add(machine);
    this.machinesByTask.set(task, machines);
    const limit = this.limits.get(job.team);
    if (limit !== undefined && this.cpusUsed(job.team) > limit)
      this.recordViolation("quota", `${job.team} with ${task}`);
    const { cancelledAt } = this.viewOf(id);
    if (cancelledAt === null) return;
    const since = this.now() - cancelledAt;
    this.afterConfirmed.starts += 1;
    this.afterConfirmed.longestUs = Math.max(this.afterConfirmed.longestUs, since);
    // A controller knows all decisions older than a shard lease, so starts end long before the cancellation bound.
    if (since > Math.min(this.cancelUs, this.startUs)) this.recordViolation("ran_cancelled", `${task} started`);
  }

  taskOff(task: string, machine: TrueMachine): void {
    const machines = this.machinesByTask.get(task);
    const wasOn = machines?.delete(machine) === true;
    const cancelledAt = this.views.get(task.slice(0, task.lastIndexOf("/")))?.cancelledAt ?? null;
    if (wasOn && cancelledAt !== null) {
      this.afterCancelled.tasks += 1;
      this.afterCancelled.longestUs = Math.max(this.afterCancelled.longestUs, this.now() - cancelledAt);
    }
    if (machines?.size === 0) this.machinesByTask.delete(task);
  }

  taskDone(task: string): void {
    const id = task.slice(0, task.lastIndexOf("/"));
    const done = this.finished.get(id) ?? new Set();
    done.add(task);
    this.finished.set(id, done);
  }

  isRunning(task: string): boolean {
    return this.machinesByTask.has(task);
  }

  /** Names of the machines that the task is on. */
  machinesOf(task: string): readonly string[] {
    return [...(this.machinesByTask.get(task) ?? [])].map(({ name }) => name);
  }

  private cpusUsed(team: string): number {
    let sum = 0;
    for (const [task, machines] of this.machinesByTask) {
      const job = this.jobs.get(task.slice(0, task.lastIndexOf("/")));
      if (job?.team === team) sum += job.cpus * machines.size;
    }
    return sum;
  }

  private checkPlacement(job: TrueJob, machine: TrueMachine): void {
    const report = (why: string): void => {
      this.recordViolation("wrong_place", `${job.id} on ${machine.name}: ${why}`);
    };
    if (job.types !== null && !job.types.includes(machine.type)) report("type");
    if (job.zone !== null && job.zone !== machine.zone) report("zone");
    if (machine.spot && !job.spot) report("spot");
    let inZone = 1;
    for (const [task, machines] of this.machinesByTask) {
      if (task.slice(0, task.lastIndexOf("/")) !== job.id) continue;
      for (const other of machines) {
        if (other.zone === machine.zone) inZone += 1;
        else if (job.together) report("together");
      }
    }
    if (job.spread && inZone > Math.ceil(job.tasks / 2)) report("spread");
  }

  /** Checks the rules that depend on time; throws the first violation recorded so far. */
  tick(): void {
    if (this.violation !== null) throw this.violation;
    this.checkWaitingJobs();
    // Each cancelled job is checked once, at its cancellation bound; `taskOn` checks later starts.
    for (let next = this.cancellationDeadlines[0]; next !== undefined; next = this.cancellationDeadlines[0]) {
      if (this.now() <= next.until) return;
      this.cancellationDeadlines.shift();
      for (const task of this.machinesByTask.keys()) {
        if (task.startsWith(`${next.id}/`)) this.recordViolation("ran_cancelled", task);
      }
    }
  }

  /** Checks that, after the faults ended, no job waits for long while there is free capacity for it. */
  private checkWaitingJobs(): void {
    const now = this.now();
    if (now < this.nextCheckAt || now < this.faultsEndedAt + MAX_WAIT_US) return;
    this.nextCheckAt = now + CHECK_INTERVAL_US;
    for (const id of this.accepted()) {
      const job = this.jobs.get(id);
      const view = this.viewOf(id);
      if (job === undefined || view.cancelAsked || view.final !== null) continue;
      if ((job.awaits ?? []).some((needed) => this.terminalPhaseOf(needed) !== "done")) continue;
      // Jobs with zone constraints, gangs and services need more than free capacity for one task.
      if (job.service || job.spread || job.together || job.gang === true) continue;
      if ((this.finished.get(id)?.size ?? 0) >= job.tasks) continue;
      const placed = Array.from({ length: job.tasks }, (_, at) => `${id}/${at}`).some((task) =>
        this.machinesByTask.has(task),
      );
      if (placed) this.lastPlacedAt.set(id, now);
      const dependenciesDoneAt = (job.awaits ?? []).map((needed) => this.views.get(needed)?.finalAt ?? 0);
      const since = Math.max(
        this.faultsEndedAt,
        view.submittedAt,
        this.lastPlacedAt.get(id) ?? 0,
        ...dependenciesDoneAt,
      );
      const waits = !placed && now - since > MAX_WAIT_US;
      const limit = this.limits.get(job.team);
      const belowQuota = limit === undefined || this.cpusUsed(job.team) + job.cpus <= limit;
      // Free capacity that the next job in the queue is about to use does not count.
      const capacitySince = waits && belowQuota && this.hasRoom(job) ? (this.freeCapacitySince.get(id) ?? now) : null;
      if (capacitySince === null) this.freeCapacitySince.delete(id);
      else this.freeCapacitySince.set(id, capacitySince);
      if (capacitySince !== null && now - capacitySince >= FREE_CAPACITY_US) this.recordViolation("left_waiting", id);
    }
  }

  /** CPUs of the tasks on the machine. */
  cpusOn(machine: string): number {
    let sum = 0;
    for (const [task, machines] of this.machinesByTask) {
      if (![...machines].some(({ name }) => name === machine)) continue;
      sum += this.jobs.get(task.slice(0, task.lastIndexOf("/")))?.cpus ?? 0;
    }
    return sum;
  }

  submitted(id: string, status: number, phase: string | null, askedAt = this.now()): void {
    const view = this.viewOf(id);
    if (askedAt < view.finalAt) return;
    if (view.accepted && (status === 400 || status === 422)) this.recordViolation("forgotten", `${id}: ${status}`);
    if (status !== 200 && status !== 201) return;
    view.accepted = true;
    view.lastAnsweredAt = this.now();
    if (phase !== null) this.checkPhase(id, view, phase);
  }

  /** Receives the requests of the emulator's users and the responses to them. */
  readonly hearing: UserObserver = {
    submitted: (id, status, phase, askedAt) => this.submitted(id, status, phase, askedAt),
    polled: (id, status, phase, askedAt) => this.polled(id, status, phase, askedAt),
    cancelAsked: (id) => this.cancelAsked(id),
    cancelAnswered: (id, status, phase) => this.cancelAnswered(id, status, phase),
    dropped: () => undefined,
    oddAnswered: (why, status, detail) => this.oddAnswered(why, status, detail),
  };

  /** Invalid submissions that received a final response. */
  invalidRefused = 0;

  oddAnswered(why: SubmissionFault, status: number, detail: string): void {
    if (status === 429 || status === 503) return;
    const expectedStatus = why === "lacks a field" ? 400 : 422;
    const namesField = why !== "lacks a field" || detail.includes("cpus");
    if (status !== expectedStatus || !namesField) this.recordViolation("odd", `${why}: ${status} ${detail}`);
    this.invalidRefused += 1;
  }

  cancelAsked(id: string): void {
    this.viewOf(id).cancelAsked = true;
  }

  cancelAnswered(id: string, status: number, phase: string | null): void {
    const view = this.viewOf(id);
    if (status === 404 && view.accepted) this.recordViolation("forgotten", `${id}: abort got 404`);
    if (status === 200 && phase !== null) this.checkPhase(id, view, phase);
  }

  polled(id: string, status: number | null, phase: string | null, askedAt = this.now()): void {
    const view = this.viewOf(id);
    // Sent before the terminal phase was received: a slow controller may respond with an earlier phase.
    if (askedAt < view.finalAt) return;
    const now = this.now();
    this.polls.push({ at: now, good: status === 200 || status === 404, job: id });
    while ((this.polls[0]?.at ?? now) < now - 90_000_000) this.polls.shift();
    if (status === 404 && view.accepted) this.recordViolation("forgotten", `${id}: 404`);
    if (status === 200) {
      if (!this.jobs.has(id)) this.recordViolation("invented", id);
      view.lastAnsweredAt = now;
      if (phase === "pending" || phase === "running") {
        const since = this.dependencyCancelledAt(id);
        // A job submitted after that cancellation has the whole bound from its submission on.
        const from = since === null ? now : Math.max(since, view.submittedAt);
        if (now - from > this.cancelUs)
          this.recordViolation("orphaned", `${id} is ${phase} past the cancellation bound of a dependency`);
      }
      if (phase !== null) this.checkPhase(id, view, phase);
    } else if (view.accepted && now - Math.max(view.lastAnsweredAt, this.faultsEndedAt) > LOST_AFTER_US) {
      this.recordViolation("forgotten", `${id}: no status response for 75 s after the faults ended`);
    } else if (view.accepted && now - view.lastAnsweredAt > 90_000_000) {
      const others = this.polls.filter((poll) => poll.job !== id);
      if (others.length > 10 && others.filter((poll) => poll.good).length > others.length / 2) {
        this.recordViolation(
          "forgotten",
          `${id}: no status response for 90 s, while most other status queries got one`,
        );
      }
    }
  }

  private checkPhase(id: string, view: UserView, phase: string): void {
    if (view.final !== null && phase !== view.final)
      this.recordViolation("went_back", `${id}: ${view.final} to ${phase}`);
    if (phase === "withdrawn" || phase === "done") {
      if (view.final === null) view.finalAt = this.now();
    }
    if (phase === "withdrawn") {
      if (!view.cancelAsked && !this.isDependencyCancelled(id))
        this.recordViolation("went_back", `${id}: withdrawn without a cancellation request`);
      if (view.cancelledAt === null) {
        view.cancelledAt = this.now();
        this.cancellationDeadlines.push({ id, until: this.now() + this.cancelUs });
      }
      view.final = phase;
    }
    if (phase === "done") {
      const job = this.jobs.get(id);
      if ((this.finished.get(id)?.size ?? 0) < (job?.tasks ?? 0) || job?.service === true) {
        this.recordViolation("not_done", id);
      }
      view.final = phase;
    }
  }

  /** The job's dependencies, direct and transitive. */
  private dependenciesOf(id: string): readonly UserView[] {
    const seen = new Set([id]);
    for (const next of seen) for (const needed of this.jobs.get(next)?.awaits ?? []) seen.add(needed);
    seen.delete(id);
    return [...seen].flatMap((needed) => this.views.get(needed) ?? []);
  }

  /** Whether cancellation of an unfinished dependency was requested. */
  private isDependencyCancelled(id: string): boolean {
    return this.dependenciesOf(id).some(({ cancelAsked, final }) => cancelAsked && final !== "done");
  }

  /** When the cancellation of a dependency was first confirmed to a user; null if none was. */
  private dependencyCancelledAt(id: string): number | null {
    const times = this.dependenciesOf(id).flatMap(({ cancelledAt }) => cancelledAt ?? []);
    return times.length === 0 ? null : Math.min(...times);
  }

  /** Accepted jobs that are not cancelled, each with whether it is among the largest of its class. */
  private uncancelledJobs(): { readonly job: TrueJob; readonly view: UserView; readonly largest: boolean }[] {
    const jobs = this.accepted().flatMap((id) => {
      const job = this.jobs.get(id);
      const view = this.viewOf(id);
      return job === undefined || view.cancelAsked || this.isDependencyCancelled(id) ? [] : [{ job, view }];
    });
    const sizes = new Map<string, number[]>();
    for (const { job } of jobs) {
      const known = sizes.get(job.jobClass) ?? [];
      known.push(job.cpus * job.tasks);
      sizes.set(job.jobClass, known);
    }
    // The smallest size within the largest tenth; all jobs of that size count as largest.
    const minLargestSize = new Map(
      [...sizes].map(([name, all]) => {
        const sorted = all.sort((a, b) => b - a);
        return [name, sorted[Math.max(0, Math.ceil(sorted.length * LARGEST_SHARE) - 1)] ?? 0];
      }),
    );
    return jobs.map(({ job, view }) => {
      return { job, view, largest: job.cpus * job.tasks >= (minLargestSize.get(job.jobClass) ?? 0) };
    });
  }

  /** The largest jobs of each class of which no task was on a machine within `MAX_START_DELAY_US`. */
  lateLargestJobs(): string[] {
    return this.uncancelledJobs()
      .filter(({ job, view, largest }) => {
        const begun = this.firstPlacedAt.get(job.id) ?? this.now();
        const dependenciesDoneAt = (job.awaits ?? []).map((needed) => this.views.get(needed)?.finalAt ?? 0);
        return largest && begun - Math.max(view.submittedAt, ...dependenciesDoneAt) > MAX_START_DELAY_US;
      })
      .map(({ job }) => job.id);
  }

  /** Seconds from the first submission to the first task on a machine, for each of the largest jobs. */
  waitsOfLargest(): ReadonlyMap<string, number> {
    return new Map(
      this.uncancelledJobs().flatMap(({ job, view, largest }) => {
        const begun = this.firstPlacedAt.get(job.id);
        return largest && begun !== undefined ? [[job.id, (begun - view.submittedAt) / 1e6] as const] : [];
      }),
    );
  }

  /**
   * Shares of the accepted, not cancelled jobs by class, by team and among the largest of each class: `begun` have had
   * a task on a machine; of `done` all tasks have completed (for services: a task has been on a machine).
   */
  served(): ReadonlyMap<string, { readonly jobs: number; readonly begun: number; readonly done: number }> {
    const groups = new Map<string, { jobs: number; begun: number; done: number }>();
    for (const { job, largest } of this.uncancelledJobs()) {
      const begun = this.firstPlacedAt.has(job.id);
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
    return this.viewOf(id).lastAnsweredAt;
  }

  accepted(): string[] {
    return [...this.views].filter(([, view]) => view.accepted).map(([id]) => id);
  }

  terminalPhaseOf(id: string): string | null {
    return this.views.get(id)?.final ?? null;
  }
}
