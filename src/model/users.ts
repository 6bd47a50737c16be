import type { Micros } from "../transport/clock.js";
import type { HttpOutcome, HttpRequest } from "../transport/http.js";
import type { Net } from "./network.js";
import type { Random } from "./random.js";
import { HostClock, S, type Timeline } from "./simulation.js";

/** A job submission with the field names of the protocol. */
export interface Submission {
  readonly ref: string;
  readonly jobclass: string;
  readonly owner: string;
  readonly shape: "sweep" | "ensemble" | "daemon";
  readonly rank: "prod" | "high" | "normal" | "best_effort";
  readonly shards: number;
  readonly cpus: number;
  readonly accelerators: number;
  readonly ramGb: number;
  readonly bundle: string;
  readonly sizeGb: number;
  readonly flavors: readonly string[] | null;
  readonly area: string | null;
  readonly together: boolean;
  readonly spread: boolean;
  readonly loaner: boolean;
  readonly guessS: number;
  readonly saveEveryS: number;
  readonly saveTakesS: number;
  readonly dueS: number | null;
  readonly awaits?: readonly string[];
}

/** Observer of the users' requests and of the responses that they receive. */
export interface UserObserver {
  /** `askedAt`: when the request was sent; responses may arrive out of order. `status` is 0 without a response. */
  submitted(id: string, status: number, phase: string | null, askedAt: number): void;
  /** Result of a status query; `status` is null without a response. */
  polled(id: string, status: number | null, phase: string | null, askedAt: number): void;
  cancelAsked(id: string): void;
  cancelAnswered(id: string, status: number, phase: string | null): void;
  /** A submission was abandoned: refused permanently, or not accepted within the users' retry period. */
  dropped(id: string, status: number | null): void;
  /** Response to an invalid submission. */
  oddAnswered?(why: SubmissionFault, status: number, detail: string): void;
}

/** Fault of an invalid submission, which no controller may accept. */
export type SubmissionFault = "fits no machine" | "lacks a field";

/** Shares of jobs submitted again after acceptance (`repeats`), and of polls continued after the end (`lingers`). */
export interface Quirks {
  readonly repeats: number;
  readonly lingers: number;
}

/** Users that neither resubmit nor poll jobs that have ended. */
export const PLAIN_USERS: Quirks = { repeats: 0, lingers: 0 };

const RETRY_PERIOD_US = 60 * S;
const REQUEST_TIMEOUT_US = 5 * S;
const POLL_TIMEOUT_US = 2 * S;
const MAX_RETRY_AFTER_S = 30;

const phaseIn = (outcome: HttpOutcome): string | null => {
  if (outcome.kind !== "answer") return null;
  const { phase } = JSON.parse(outcome.body) as { phase?: string };
  return phase ?? null;
};

/** Emulates users, who submit, retry, poll and cancel jobs as the protocol specifies. */
export class Users {
  private readonly accepted = new Map<string, Submission>();
  private readonly endedJobs = new Set<string>();
  private readonly clock: HostClock;
  /** Called when a user first learns that a job has been accepted, and that it has ended. */
  onNews: (id: string) => void = () => undefined;
  /** Lets a test modify requests in transit. */
  alter: (request: HttpRequest) => HttpRequest = (request) => request;

  constructor(
    private readonly timeline: Timeline,
    private readonly net: Net,
    private readonly random: Random,
    private readonly controllers: readonly string[],
    private readonly observer: UserObserver,
    private readonly quirks: Quirks,
  ) {
    this.clock = new HostClock(timeline, 1, 0);
  }

  private async send(
    method: string,
    target: string,
    body: string,
    timeoutUs = REQUEST_TIMEOUT_US,
    to = this.random.pick(this.controllers),
  ): Promise<HttpOutcome> {
    return this.net.client("user", this.clock).call(to, this.alter({ method, target, body }), timeoutUs as Micros);
  }

  /** Submits a job with retries for up to 60 s, then polls until it has ended. */
  submit(job: Submission): void {
    // A job with dependencies is submitted once all of them have been accepted.
    if (job.awaits?.some((id) => !this.accepted.has(id)) === true) {
      this.timeline.after(S / 10, () => this.submit(job));
      return;
    }
    const until = this.timeline.now + RETRY_PERIOD_US;
    const attempt = async (): Promise<void> => {
      const askedAt = this.timeline.now;
      const outcome = await this.send("POST", "/v2/runs", JSON.stringify(job));
      const status = outcome.kind === "answer" ? outcome.status : null;
      this.observer.submitted(job.ref, status ?? 0, phaseIn(outcome), askedAt);
      if (status === 200 || status === 201) {
        this.accepted.set(job.ref, job);
        this.onNews(job.ref);
        this.poll(job.ref);
        // A retry may arrive long after the acceptance.
        if (this.random.chance(this.quirks.repeats)) {
          this.timeline.after(this.random.int(0, 60 * S), () => void this.resubmit(job));
        }
        return;
      }
      const retryDelayS =
        outcome.kind === "answer" ? Math.min(MAX_RETRY_AFTER_S, Math.max(1, outcome.retryAfterS ?? 1)) : 1;
      if (status === 400 || status === 422 || this.timeline.now + retryDelayS * S >= until)
        this.observer.dropped(job.ref, status);
      else this.timeline.after(retryDelayS * S, () => void attempt());
    };
    void attempt();
  }

  /** Jobs whose acceptance users have seen, and those among them whose end they have not seen. */
  known(): { readonly all: readonly Submission[]; readonly open: readonly Submission[] } {
    const all = [...this.accepted.values()];
    return { all, open: all.filter(({ ref }) => !this.endedJobs.has(ref)) };
  }

  /** Submits a job again unchanged, to `node` or else to a random controller. */
  async resubmit(job: Submission, node?: string): Promise<void> {
    const askedAt = this.timeline.now;
    const outcome = await this.send("POST", "/v2/runs", JSON.stringify(job), REQUEST_TIMEOUT_US, node);
    this.observer.submitted(job.ref, outcome.kind === "answer" ? outcome.status : 0, phaseIn(outcome), askedAt);
  }

  private poll(id: string): void {
    const askedAt = this.timeline.now;
    void this.send("GET", `/v2/runs/${id}`, "", POLL_TIMEOUT_US).then((outcome) => {
      const phase = phaseIn(outcome);
      this.observer.polled(id, outcome.kind === "answer" ? outcome.status : null, phase, askedAt);
      this.recordPhase(id, phase);
      // Some users continue to poll after the end: the answer must not change.
      if (this.endedJobs.has(id) && !this.random.chance(this.quirks.lingers)) return;
      this.timeline.after(4 * S + this.random.int(0, 2 * S), () => this.poll(id));
    });
  }

  private recordPhase(id: string, phase: string | null): void {
    if ((phase !== "done" && phase !== "withdrawn") || this.endedJobs.has(id)) return;
    this.endedJobs.add(id);
    this.onNews(id);
  }

  /** Starts another series of polls every 5 s for ever, whether or not the job has ended. */
  pollForever(id: string): void {
    this.poll(id);
    this.timeline.after(5 * S, () => this.pollForever(id));
  }

  /** Sends one status query to `node` or else to a random controller; the job need not have been submitted. */
  queryOnce(id: string, node?: string): void {
    const askedAt = this.timeline.now;
    void this.send("GET", `/v2/runs/${id}`, "", REQUEST_TIMEOUT_US, node).then((outcome) =>
      this.observer.polled(id, outcome.kind === "answer" ? outcome.status : null, phaseIn(outcome), askedAt),
    );
  }

  /** Registers a job as accepted before the run. */
  registerAccepted(job: Submission): void {
    this.accepted.set(job.ref, job);
  }

  /** Cancels a job unless its acceptance has not been seen yet. */
  cancelIfAccepted(id: string): void {
    if (this.accepted.has(id)) this.cancel(id);
  }

  /** Cancels a job with retries, waiting for its acceptance first. */
  cancel(id: string): void {
    if (!this.accepted.has(id)) {
      // Users cancel accepted jobs only: the 404 to an earlier cancellation could arrive after the acceptance.
      this.timeline.after(S, () => this.cancel(id));
      return;
    }
    this.observer.cancelAsked(id);
    const attempt = async (): Promise<void> => {
      const outcome = await this.send("POST", `/v2/runs/${id}/abort`, "");
      const status = outcome.kind === "answer" ? outcome.status : 0;
      const phase = phaseIn(outcome);
      this.observer.cancelAnswered(id, status, phase);
      this.recordPhase(id, phase);
      if (status !== 200) this.timeline.after(S, () => void attempt());
    };
    void attempt();
  }

  /** Sends an invalid submission; the response must be a refusal or state that it cannot be decided now. */
  submitOdd(job: Submission, why: SubmissionFault): void {
    const body = why === "lacks a field" ? { ...job, cpus: undefined } : { ...job, cpus: 100_000 };
    void this.send("POST", "/v2/runs", JSON.stringify(body)).then((outcome) => {
      if (outcome.kind === "answer") this.observer.oddAnswered?.(why, outcome.status, outcome.body);
    });
  }
}
