import type { Micros } from "../transport/clock.js";
import type { HttpRequest, HttpResponse } from "../transport/http.js";
import { Executor, type ExecutorAround, type GangTimes } from "./executor.js";
import { type Host, json, type Net } from "./network.js";
import type { Random } from "./random.js";
import type { TypeSpec } from "./site-spec.js";
import type { HostInfo } from "./witness.js";
import { HostClock, S } from "./world.js";

/** Timing parameters of workers, in microseconds. */
export interface WorkerTimes extends GangTimes {
  readonly reportUs: number;
  readonly leaseUs: number;
}

/** Simulated environment shared by all workers of a site. */
export interface Surroundings extends ExecutorAround {
  readonly net: Net;
  readonly random: Random;
  /** Addresses of the controllers; `labels` holds their names in the same order. */
  readonly nodes: readonly string[];
  readonly labels: readonly string[];
  readonly times: WorkerTimes;
}

/** A command as a controller sends it; `windDownS` is the grace period in seconds. */
interface Order {
  readonly verb: string;
  readonly shard: string;
  readonly try: number;
  readonly windDownS?: number;
}

const REPORT_PATIENCE = (4 * S) as Micros;

/** Emulates a worker: sends heartbeats, holds the worker lease, and serves commands and status queries. */
export class Worker {
  private session = 1;
  private tick = 0;
  private token = 0;
  private leaseBase: number;
  private node: number;
  private inFlight = false;
  private lastReport = -S;
  private changeArmed = false;
  /** State has changed since the body of the heartbeat in flight was written. */
  private changedInFlight = false;
  /** Time of the last out-of-schedule heartbeat that a higher fencing token triggered. */
  private tokenReportedAt = Number.NEGATIVE_INFINITY;
  private noticeAt: number | null = null;
  private gone = false;
  /** Incremented at a restart; responses to requests sent before it are discarded. */
  private calls = 0;
  readonly host: Host;
  private readonly clock: HostClock;
  private readonly executor: Executor;

  constructor(
    private readonly around: Surroundings,
    readonly info: HostInfo,
    type: TypeSpec,
  ) {
    const { timeline, net, random, nodes } = around;
    this.leaseBase = timeline.now;
    this.node = random.int(0, nodes.length - 1);
    this.executor = new Executor(around, info, type, () => this.changed());
    this.clock = new HostClock(timeline, 1, 0);
    this.host = { address: net.address(), serve: (request) => this.serve(request), state: "up" };
    net.add(this.host);
    this.regular();
    this.watchLease();
  }

  hang(forUs: number): void {
    this.executor.hang(forUs);
  }

  /** Makes the machine faulty: every task that it starts from now on fails. */
  sicken(): void {
    this.executor.sick = true;
  }

  /** Announces that the machine will be reclaimed in `inUs` microseconds. */
  notice(inUs: number): void {
    this.noticeAt = this.around.timeline.now + inUs;
    this.changed();
  }

  /** Ends the machine (reclaimed, deleted or failed): its tasks are killed and its address no longer responds. */
  end(): void {
    this.gone = true;
    this.host.state = "silent";
    this.around.net.remove(this.host);
    this.executor.end();
  }

  /**
   * Restarts the worker process within a fraction of a second; tasks and cached images are lost. With `kept` the
   * incarnation is incremented and heartbeat sequence and fencing token are retained; otherwise all three are reset.
   */
  restart(kept: boolean): void {
    if (this.gone) return;
    this.executor.restart();
    this.session = kept ? this.session + 1 : 1;
    if (!kept) {
      this.tick = 0;
      this.token = 0;
      this.tokenReportedAt = Number.NEGATIVE_INFINITY;
    }
    this.leaseBase = this.around.timeline.now;
    this.inFlight = false;
    this.calls += 1;
    this.changed();
  }

  private awake(run: () => void): void {
    this.executor.awake(run);
  }

  private watchLease(): void {
    const { timeline, times } = this.around;
    if (this.gone) return;
    // The lease also expires while the machine hangs: its tasks are gone when it resumes.
    if (timeline.now - this.leaseBase > times.leaseUs) {
      this.around.witness.leaseOver(
        this.info,
        [...this.executor.list()].filter(({ phase }) => phase !== "exited").length,
      );
      this.executor.killAll();
      this.session += 1;
      this.leaseBase = timeline.now;
      this.changed();
    }
    timeline.at(this.leaseBase + times.leaseUs + 1, () => this.watchLease());
  }

  private regular(): void {
    this.awake(() => this.report());
    this.around.timeline.after(this.around.times.reportUs * (0.75 + this.around.random.next() / 2), () => {
      if (!this.gone) this.regular();
    });
  }

  private changed(): void {
    const { timeline } = this.around;
    if (this.changeArmed || this.gone) return;
    this.changeArmed = true;
    timeline.at(Math.max(timeline.now + 1_000, this.lastReport + S / 2), () =>
      this.awake(() => {
        this.changeArmed = false;
        if (this.inFlight) this.changedInFlight = true;
        else this.report();
      }),
    );
  }

  private body(): Record<string, unknown> {
    this.tick += 1;
    return {
      host: this.info.name,
      addr: this.host.address,
      flavor: this.info.type,
      area: this.info.zone,
      loaner: this.info.spot,
      tenure: this.session,
      tick: this.tick,
      baton: this.token,
      warningS: this.noticeAt === null ? null : Math.max(0, this.noticeAt - this.around.timeline.now) / S,
      shards: [...this.executor.list()].map((task) => ({
        shard: task.shard,
        try: task.try,
        phase: task.phase,
        ...(task.cause === null ? {} : { cause: task.cause, saved: task.saved }),
      })),
    };
  }

  private report(): void {
    const { timeline, net, random, nodes, labels } = this.around;
    if (this.inFlight || this.gone) return;
    this.inFlight = true;
    this.changedInFlight = false;
    this.lastReport = timeline.now;
    const sent = timeline.now;
    const session = this.session;
    const request: HttpRequest = { method: "POST", target: "/hello", body: JSON.stringify(this.body()) };
    const node = nodes[this.node] ?? "";
    const { calls } = this;
    void net
      .client(this.host.address, this.clock)
      .call(node, request, REPORT_PATIENCE)
      .then((outcome) =>
        this.awake(() => {
          if (calls !== this.calls) return;
          this.inFlight = false;
          const late = timeline.now - sent > REPORT_PATIENCE;
          if (late || outcome.kind !== "answer" || (outcome.status !== 200 && outcome.status !== 421)) {
            this.next();
            return;
          }
          if (outcome.status === 421) {
            const { steward } = JSON.parse(outcome.body) as { steward?: string };
            const at = labels.indexOf(steward ?? "");
            if (at < 0 || at === this.node) this.next();
            else {
              this.node = at;
              timeline.after(random.int(0, S / 2), () => this.awake(() => this.report()));
            }
            return;
          }
          if (this.changedInFlight) this.changed();
          const { baton, orders } = JSON.parse(outcome.body) as { baton?: number; orders: Order[] };
          if (baton === undefined || baton < this.token || session !== this.session) return;
          this.see(baton);
          this.leaseBase = Math.max(this.leaseBase, sent);
          for (const order of orders) this.execute(order);
        }),
      );
  }

  private next(): void {
    this.node = (this.node + 1) % this.around.nodes.length;
    this.around.timeline.after(S, () => this.awake(() => this.report()));
  }

  private see(token: number): void {
    const { timeline, times } = this.around;
    if (token <= this.token) return;
    this.token = token;
    if (timeline.now - this.tokenReportedAt < times.leaseUs / 2) return;
    this.tokenReportedAt = timeline.now;
    this.changed();
  }

  private serve(request: HttpRequest): Promise<HttpResponse> {
    return new Promise((resolve) =>
      this.awake(() => {
        if (request.target === "/status") {
          resolve(json(200, this.body()));
          return;
        }
        const { baton, tenure, orders } = JSON.parse(request.body) as {
          baton?: number;
          tenure?: number;
          orders: Order[];
        };
        if (baton === undefined || tenure === undefined) resolve(json(400, {}));
        else if (baton < this.token || tenure !== this.session) resolve(json(409, this.body()));
        else {
          this.see(baton);
          for (const order of orders) this.execute(order);
          resolve(json(200, this.body()));
        }
      }),
    );
  }

  private execute({ verb, shard, try: attempt, windDownS }: Order): void {
    if (verb === "forget") this.executor.forget(shard, attempt);
    else if (verb === "halt") this.executor.stop(shard, attempt, windDownS ?? 0);
    else if (verb === "launch") this.executor.start(shard, attempt);
  }
}
