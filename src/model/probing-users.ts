import type { Random } from "./random.js";
import { S, type Timeline } from "./simulation.js";
import type { Users } from "./users.js";

/** Status queries to each controller after each event, spread over `WITHIN` microseconds. */
const QUERIES_PER_CONTROLLER = 3;
const QUERY_SPREAD_US = 8_000;
const ODD_REQUEST_PERIOD_US = S / 2;

/** Users that probe consistency: they query all controllers right after each change, and send unusual requests. */
export class ProbingUsers {
  /** Number of probes sent: status queries, repeated submissions and cancellations. */
  looks = 0;
  /** Number of rounds of `sendUnusualRequests`. */
  odd = 0;

  constructor(
    private readonly users: Users,
    private readonly timeline: Timeline,
    private readonly random: Random,
    private readonly controllers: readonly string[],
  ) {}

  /**
   * Queries all controllers repeatedly within 8 ms after a job was accepted or has ended, submits it again, and cancels
   * a share of the jobs.
   */
  probeAfterChanges(forUs: number, cancels: number): void {
    const until = this.timeline.now + forUs;
    const before = this.users.onNews;
    this.users.onNews = (id) => {
      before(id);
      if (this.timeline.now > until) return;
      for (const node of this.controllers) {
        for (let look = 0; look < QUERIES_PER_CONTROLLER; look += 1)
          this.sendSoon(() => this.users.queryOnce(id, node));
        this.sendSoon(() => {
          const job = this.users.known().all.find(({ ref }) => ref === id);
          if (job !== undefined) void this.users.resubmit(job, node);
        });
      }
      if (this.random.chance(cancels)) this.sendSoon(() => this.users.cancel(id));
    };
  }

  private sendSoon(look: () => void): void {
    this.looks += 1;
    this.timeline.after(this.random.int(1, QUERY_SPREAD_US), look);
  }

  /** Sends unusual requests: resubmissions of open jobs, cancellations of ended ones, and invalid submissions. */
  sendUnusualRequests(forUs: number): void {
    const until = this.timeline.now + forUs;
    const next = (): void => {
      if (this.timeline.now > until) return;
      this.timeline.after(ODD_REQUEST_PERIOD_US, next);
      const { all, open } = this.users.known();
      const over = all.filter((job) => !open.includes(job));
      const any = open.length > 0 ? this.random.pick(open) : null;
      this.odd += 1;
      switch (this.random.int(0, 3)) {
        case 0:
          if (any !== null) void this.users.resubmit(any);
          return;
        case 1:
          if (over.length > 0) this.users.cancel(this.random.pick(over).ref);
          return;
        default: {
          const sample = all[0];
          if (sample === undefined) return;
          const why = this.random.chance(0.5) ? "fits no machine" : "lacks a field";
          this.users.submitOdd({ ...sample, ref: `wk-odd-${this.odd}` }, why);
        }
      }
    };
    next();
  }
}
