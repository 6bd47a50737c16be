import hdr, { type Histogram } from "hdr-histogram-js";
import {
  type EndCause,
  type HostInfo,
  jobOf,
  type MachineObserver,
  type SiteSpec,
  type Submission,
  type UserObserver,
} from "../model/index.js";
import type { AimOutcome, DelayCause, JobOutcome, JobPhase, Outcome, Sample, ServedGroups, Waits } from "./outcome.js";

const SECOND = 1_000_000;
const HOUR = 3_600 * SECOND;
/** A start within this time of when it could first have been counts as at once. */
const AT_ONCE = 2 * SECOND;
const SAMPLES = 600;

interface Account {
  readonly job: Submission;
  readonly submitUs: number;
  readonly beforeUs: number;
  accepted: boolean;
  refused: boolean;
  dropped: boolean;
  cancelled: boolean;
  firstStart: number | null;
  finish: number | null;
  done: number;
  on: number;
  starts: number;
  stopped: number;
  failed: number;
  /** When a task that had been on a machine was off it again, by its number. */
  readonly off: Map<string, number>;
}

interface Stay {
  readonly since: number;
  readonly machine: HostInfo;
}

const LONGEST_MS = 30 * 24 * 3_600 * 1_000;
const newHistogram = (): Histogram =>
  hdr.build({ highestTrackableValue: LONGEST_MS, numberOfSignificantValueDigits: 3 });

const emptyCauses = (): Record<DelayCause, number> => ({
  "at once": 0,
  booting: 0,
  image: 0,
  "room or limit": 0,
  "started anew": 0,
});

/** Rounds shares and money, so that no last digit of an addition gets into a result. */
const rounded = (value: number): number => Math.round(value * 1e6) / 1e6;

/** Keeps the books of a replay from what truly happened; the policy under test is not asked anything. */
export class Ledger implements MachineObserver, UserObserver {
  private readonly accounts = new Map<string, Account>();
  private readonly stays = new Map<string, Stay>();
  private readonly upAt = new Map<string, number>();
  private readonly held = new Map<string, { readonly since: number; readonly host: HostInfo }>();
  /** Waits for a first start by class, in milliseconds. A t-digest would shuffle, and two runs would differ. */
  private readonly waited = new Map<string, Histogram>();
  /** First starts in time for each aim of the site. */
  private readonly inTime: number[] = [];
  private readonly byCause = emptyCauses();
  private readonly series: Sample[] = [];
  private readonly finishing: string[] = [];
  private readonly cpus: ReadonlyMap<string, number>;
  private readonly prices: ReadonlyMap<string, { ordinary: number; spot: number }>;
  /** The task that has just completed, and the one that has just left without a word. */
  private completed = "";
  private unexplained = "";
  private open = 0;
  private queued = 0;
  private asked = 0;
  private starts = 0;
  private stopped = 0;
  private lost = 0;
  private failed = 0;
  private refusals = 0;
  private busy = 0;
  private heldCpu = 0;
  private cost = 0;
  private useful = 0;
  /** When anything last moved: a task started or ended, a machine came. */
  lastMove = 0;

  /** Whole microseconds, whatever a simulated clock counts in. */
  private readonly now: () => number;

  constructor(
    now: () => number,
    private readonly site: SiteSpec,
  ) {
    this.now = () => Math.round(now());
    this.cpus = new Map(site.types.map(({ name, cpus }) => [name, cpus]));
    this.prices = new Map(site.types.map(({ name, price, spotPrice }) => [name, { ordinary: price, spot: spotPrice }]));
  }

  /** Batch jobs that are submitted and have no end yet. */
  get openJobs(): number {
    return this.open;
  }

  opened(job: Submission, beforeUs: number): void {
    if (this.accounts.has(job.ref)) return;
    this.accounts.set(job.ref, {
      job,
      submitUs: this.now(),
      beforeUs,
      accepted: false,
      refused: false,
      dropped: false,
      cancelled: false,
      firstStart: null,
      finish: null,
      done: 0,
      on: 0,
      starts: 0,
      stopped: 0,
      failed: 0,
      off: new Map(),
    });
    if (job.shape !== "daemon") this.open += 1;
    this.queued += job.shards;
  }

  /** Told of each job that has ended, in whatever way, or never will begin. */
  onEnd: (job: string) => void = () => undefined;

  private close(account: Account): void {
    account.finish = this.now();
    this.onEnd(account.job.ref);
    if (account.job.shape !== "daemon") this.open -= 1;
    this.queued -= account.job.shards - account.done - account.on;
  }

  // What users are told -------------------------------------------------------------------------------------

  submitted(id: string, status: number): void {
    const account = this.accounts.get(id);
    if (account !== undefined && (status === 200 || status === 201)) account.accepted = true;
  }

  polled(): void {}

  cancelAsked(): void {}

  cancelAnswered(id: string, status: number, phase: string | null): void {
    const account = this.accounts.get(id);
    if (account === undefined || status !== 200 || phase !== "withdrawn" || account.cancelled) return;
    account.cancelled = true;
    if (account.finish === null) this.close(account);
  }

  dropped(id: string, status: number | null): void {
    const account = this.accounts.get(id);
    if (account === undefined || account.finish !== null) return;
    if (status === 400 || status === 422) account.refused = true;
    else account.dropped = true;
    this.close(account);
  }

  // What truly happens --------------------------------------------------------------------------------------

  taskOn(task: string, machine: HostInfo, _attempt: number, fetchUs: number): void {
    const account = this.accounts.get(jobOf(task));
    const now = this.now();
    this.lastMove = now;
    this.starts += 1;
    this.stays.set(task, { since: now, machine });
    if (account === undefined) return;
    const again = account.off.get(task);
    account.off.delete(task);
    account.starts += 1;
    account.on += 1;
    if (account.finish === null) this.queued -= 1;
    account.firstStart ??= now;
    const since = again ?? account.submitUs;
    this.byCause[this.cause(now, since, again !== undefined, machine, fetchUs)] += 1;
    if (again !== undefined) return;
    this.site.objectives.forEach((aim, at) => {
      if (aim.kind !== "wait" || aim.class !== account.job.jobclass || aim.withinUs === null) return;
      if (now - account.submitUs <= aim.withinUs) this.inTime[at] = (this.inTime[at] ?? 0) + 1;
    });
    const histogram = this.waited.get(account.job.jobclass) ?? newHistogram();
    histogram.recordValue(Math.min(LONGEST_MS, Math.max(1, Math.ceil((now - account.submitUs) / 1_000))));
    this.waited.set(account.job.jobclass, histogram);
  }

  private cause(now: number, since: number, again: boolean, machine: HostInfo, fetchUs: number): DelayCause {
    if (now - since <= AT_ONCE) return "at once";
    if (again) return "started anew";
    const boot = Math.max(0, (this.upAt.get(machine.name) ?? 0) - since);
    const rest = now - since - boot - fetchUs;
    if (boot >= fetchUs && boot >= rest) return "booting";
    return fetchUs >= rest ? "image" : "room or limit";
  }

  taskOff(task: string): void {
    const stay = this.stays.get(task);
    const account = this.accounts.get(jobOf(task));
    if (stay === undefined || account === undefined) return;
    this.stays.delete(task);
    const ran = (this.now() - stay.since) * account.job.cpus;
    this.busy += ran;
    if (account.job.shape === "daemon") this.useful += ran;
    account.on -= 1;
    if (task === this.completed || account.finish !== null) return;
    this.queued += 1;
    account.off.set(task, this.now());
    // Unless the end that follows tells how: then it went with its machine or its lease.
    this.lost += 1;
    this.unexplained = task;
  }

  taskEnded(task: string, _machine: HostInfo, cause: EndCause): void {
    this.lastMove = this.now();
    const account = this.accounts.get(jobOf(task));
    if (task === this.unexplained) this.lost -= 1;
    this.unexplained = "";
    if (account === undefined || cause === "done") return;
    if (cause === "error") {
      this.failed += 1;
      account.failed += 1;
    } else if (cause === "halted" && account.finish === null) {
      this.stopped += 1;
      account.stopped += 1;
    }
  }

  taskDone(task: string): void {
    const account = this.accounts.get(jobOf(task));
    const stay = this.stays.get(task);
    if (account === undefined) return;
    account.done += 1;
    if (stay !== undefined) this.useful += (this.now() - stay.since) * account.job.cpus;
    this.completed = task;
    if (account.finish !== null || account.done < account.job.shards) return;
    this.finishing.push(account.job.ref);
    account.finish = this.now();
    this.open -= 1;
    this.onEnd(account.job.ref);
  }

  machineAsked(machine: HostInfo): void {
    this.asked += 1;
    this.held.set(machine.name, { since: this.now(), host: machine });
  }

  machineUp(machine: HostInfo): void {
    this.upAt.set(machine.name, this.now());
    this.lastMove = this.now();
  }

  machineGone(machine: HostInfo, why: "deleted" | "taken" | "failed"): void {
    const held = this.held.get(machine.name);
    this.held.delete(machine.name);
    this.upAt.delete(machine.name);
    if (held !== undefined) this.charge(machine, this.now() - held.since, why === "deleted");
  }

  private charge(machine: HostInfo, us: number, returned: boolean): void {
    const prices = this.prices.get(machine.type);
    const price = (machine.spot ? prices?.spot : prices?.ordinary) ?? 0;
    this.cost += (price * (returned ? Math.max(us, 60 * SECOND) : us)) / HOUR;
    this.heldCpu += us * (this.cpus.get(machine.type) ?? 0);
  }

  refused(): void {
    this.refusals += 1;
  }

  leaseExpired(): void {
    // What it ended is told task by task.
  }

  /** How the site stands now. */
  get latest(): Sample {
    const queued = Math.max(0, this.queued);
    return { at: this.now(), machines: this.held.size, running: this.stays.size, queued };
  }

  /** One look for the plots; thinned out at the end if there are many. */
  sample(): void {
    this.series.push(this.latest);
  }

  // Result --------------------------------------------------------------------------------------------------

  private phase(account: Account): JobPhase {
    if (account.refused) return "refused";
    if (account.dropped) return "not accepted";
    if (account.cancelled) return "cancelled";
    if (account.finish !== null) return "done";
    if (account.firstStart === null) return "never started";
    return account.job.shape === "daemon" ? "serving" : "running";
  }

  private jobOutcome(account: Account): JobOutcome {
    const { job, submitUs, beforeUs } = account;
    const phase = this.phase(account);
    const dueUs = job.dueS === null ? null : submitUs - beforeUs + Math.round(job.dueS * SECOND);
    const counts = dueUs !== null && phase !== "cancelled" && phase !== "refused";
    return {
      id: job.ref,
      jobClass: job.jobclass,
      team: job.owner,
      rank: job.rank,
      service: job.shape === "daemon",
      tasks: job.shards,
      phase,
      submitUs: submitUs - beforeUs,
      firstStartUs: account.firstStart,
      finishUs: account.finish,
      waitUs: account.firstStart === null ? null : account.firstStart - submitUs + beforeUs,
      dueUs,
      lateUs: counts ? Math.max(0, (account.finish ?? this.now()) - dueUs) : null,
      starts: account.starts,
      stopped: account.stopped,
      failed: account.failed,
    };
  }

  private waits(): Record<string, Waits> {
    const out: Record<string, Waits> = {};
    for (const [name, histogram] of [...this.waited].sort(([a], [b]) => (a < b ? -1 : 1))) {
      const at = (percent: number): number => histogram.getValueAtPercentile(percent) * 1_000;
      out[name] = { starts: histogram.totalCount, p50Us: at(50), p90Us: at(90), p99Us: at(99), mostUs: at(100) };
    }
    return out;
  }

  private aims(): AimOutcome[] {
    return this.site.objectives.flatMap((aim, at) => {
      if (aim.kind !== "wait" || aim.class === null || aim.withinUs === null) return [];
      const starts = this.waited.get(aim.class)?.totalCount ?? 0;
      const reached = starts === 0 ? null : rounded((this.inTime[at] ?? 0) / starts);
      return [{ jobClass: aim.class, withinUs: aim.withinUs, wanted: aim.share, reached }];
    });
  }

  private servedBy(jobs: readonly JobOutcome[], groupOf: (job: JobOutcome) => string): ServedGroups {
    const groups = new Map<string, { jobs: number; started: number; done: number }>();
    for (const job of jobs) {
      if (job.phase === "refused" || job.phase === "cancelled") continue;
      const group = groups.get(groupOf(job)) ?? { jobs: 0, started: 0, done: 0 };
      groups.set(groupOf(job), group);
      const started = job.firstStartUs !== null;
      group.jobs += 1;
      if (started) group.started += 1;
      if (job.service ? started : job.phase === "done") group.done += 1;
    }
    return Object.fromEntries(
      [...groups]
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([name, { jobs: all, started, done }]) => [
          name,
          { jobs: all, started: rounded(started / all), done: rounded(done / all) },
        ]),
    );
  }

  /** Closes the books; nothing is to be told afterwards. */
  outcome(run: Pick<Outcome, "mode" | "trace" | "seed" | "ended" | "unmatched" | "remarks">): Outcome {
    for (const [task, stay] of this.stays) {
      const account = this.accounts.get(jobOf(task));
      const ran = (this.now() - stay.since) * (account?.job.cpus ?? 0);
      this.busy += ran;
      if (account?.job.shape === "daemon") this.useful += ran;
    }
    for (const { since, host } of this.held.values()) this.charge(host, this.now() - since, false);
    const cheapest = Math.min(
      ...this.site.types.map(({ price, spotPrice, cpus }) => Math.min(price, spotPrice) / cpus),
    );
    const usefulCost = (this.useful * cheapest) / HOUR;
    const jobs = [...this.accounts.values()].map((account) => this.jobOutcome(account));
    const step = Math.ceil(this.series.length / SAMPLES);
    return {
      version: 1,
      ...run,
      endedUs: this.now(),
      totals: {
        jobs: jobs.length,
        done: jobs.filter(({ phase }) => phase === "done").length,
        late: jobs.filter(({ lateUs }) => lateUs !== null && lateUs > 0).length,
        neverStarted: jobs.filter(({ phase }) => phase === "never started").length,
        starts: this.starts,
        stopped: this.stopped,
        lost: this.lost,
        failed: this.failed,
        machines: this.asked,
        refusals: this.refusals,
        cost: rounded(this.cost),
        usefulCost: rounded(usefulCost),
        price: usefulCost > 0 ? rounded(this.cost / usefulCost) : null,
        utilisation: this.heldCpu > 0 ? rounded(this.busy / this.heldCpu) : null,
      },
      byCause: { ...this.byCause },
      waits: this.waits(),
      aims: this.aims(),
      served: {
        classes: this.servedBy(jobs, ({ jobClass }) => jobClass),
        teams: this.servedBy(jobs, ({ team }) => team),
      },
      jobs,
      finishing: [...this.finishing],
      series: this.series.filter((_, at) => at % step === 0),
    };
  }
}
