import type { Micros } from "../transport/clock.js";
import type { HttpRequest, HttpResponse } from "../transport/http.js";
import { Executor, type ExecutorEnvironment, type GangTimings } from "./executor.js";
import type { HostInfo } from "./machine-observer.js";
import { type Host, json, type Net } from "./network.js";
import type { Random } from "./random.js";
import { HostClock, S } from "./simulation.js";
import type { TypeSpec } from "./site-spec.js";

/** Timing parameters of workers, in microseconds. */
export interface WorkerTimings extends GangTimings {
  readonly reportUs: number;
  readonly leaseUs: number;
}

/** Simulated environment shared by all workers of a site. */
export interface WorkerEnvironment extends ExecutorEnvironment {
  readonly net: Net;
  readonly random: Random;
  /** Addresses of the controllers; `controllerLabels` holds their names in the same order. */
  readonly controllers: readonly string[];
  readonly controllerLabels: readonly string[];
  readonly times: WorkerTimings;
}

/** A command as a controller sends it; `windDownS` is the grace period in seconds. */
interface Command {
  readonly verb: string;
  readonly shard: string;
  readonly try: number;
  readonly windDownS?: number;
}

const HEARTBEAT_TIMEOUT_US = (4 * S) as Micros;

/** Emulates a worker: sends heartbeats, holds the worker lease, and serves commands and status queries. */
export class Worker {
  private incarnation = 1;
  private sequence = 0;
  private token = 0;
  private leaseStart: number;
  private controllerIndex: number;
  private heartbeatInFlight = false;
  private lastHeartbeat = -S;
  private heartbeatScheduled = false;
  /** State has changed since the body of the heartbeat in flight was written. */
  private changedSinceSent = false;
  /** Time of the last out-of-schedule heartbeat that a higher fencing token triggered. */
  private lastTokenHeartbeat = Number.NEGATIVE_INFINITY;
  private reclaimAt: number | null = null;
  private ended = false;
  /** Incremented at a restart; responses to requests sent before it are discarded. */
  private restarts = 0;
  readonly host: Host;
  private readonly clock: HostClock;
  private readonly executor: Executor;

  constructor(
    private readonly environment: WorkerEnvironment,
    readonly info: HostInfo,
    type: TypeSpec,
  ) {
    const { timeline, net, random, controllers } = environment;
    this.leaseStart = timeline.now;
    this.controllerIndex = random.int(0, controllers.length - 1);
    this.executor = new Executor(environment, info, type, () => this.scheduleHeartbeat());
    this.clock = new HostClock(timeline, 1, 0);
    this.host = { address: net.address(), serve: (request) => this.serve(request), state: "up" };
    net.add(this.host);
    this.runHeartbeatLoop();
    this.watchLease();
  }

  hang(forUs: number): void {
    this.executor.hang(forUs);
  }

  /** Makes the machine faulty for `forUs` microseconds: every task that it starts in that time fails. */
  makeFaulty(forUs = Number.POSITIVE_INFINITY): void {
    this.executor.makeFaulty(forUs);
  }

  /** Announces that the machine will be reclaimed in `inUs` microseconds. */
  notice(inUs: number): void {
    this.reclaimAt = this.environment.timeline.now + inUs;
    this.scheduleHeartbeat();
  }

  /** Ends the machine (reclaimed, deleted or failed): its tasks are killed and its address no longer responds. */
  end(): void {
    this.ended = true;
    this.host.state = "silent";
    this.environment.net.remove(this.host);
    this.executor.end();
  }

  /**
   * Restarts the worker process within a fraction of a second; tasks and cached images are lost. With `keepCounters`
   * the incarnation is incremented and heartbeat sequence and fencing token are retained, else all three are reset.
   */
  restart(keepCounters: boolean): void {
    if (this.ended) return;
    this.executor.restart();
    this.incarnation = keepCounters ? this.incarnation + 1 : 1;
    if (!keepCounters) {
      this.sequence = 0;
      this.token = 0;
      this.lastTokenHeartbeat = Number.NEGATIVE_INFINITY;
    }
    this.leaseStart = this.environment.timeline.now;
    this.heartbeatInFlight = false;
    this.restarts += 1;
    this.scheduleHeartbeat();
  }

  private whenRunning(run: () => void): void {
    this.executor.whenRunning(run);
  }

  private watchLease(): void {
    const { timeline, times } = this.environment;
    if (this.ended) return;
    // The lease also expires while the machine hangs: its tasks are gone when it resumes.
    if (timeline.now - this.leaseStart > times.leaseUs) {
      this.environment.witness.leaseExpired(
        this.info,
        [...this.executor.list()].filter(({ phase }) => phase !== "exited").length,
      );
      this.executor.killAll();
      this.incarnation += 1;
      this.leaseStart = timeline.now;
      this.scheduleHeartbeat();
    }
    timeline.at(this.leaseStart + times.leaseUs + 1, () => this.watchLease());
  }

  private runHeartbeatLoop(): void {
    this.whenRunning(() => this.sendHeartbeat());
    this.environment.timeline.after(
      this.environment.times.reportUs * (0.75 + this.environment.random.next() / 2),
      () => {
        if (!this.ended) this.runHeartbeatLoop();
      },
    );
  }

  private scheduleHeartbeat(): void {
    const { timeline } = this.environment;
    if (this.heartbeatScheduled || this.ended) return;
    this.heartbeatScheduled = true;
    timeline.at(Math.max(timeline.now + 1_000, this.lastHeartbeat + S / 2), () =>
      this.whenRunning(() => {
        this.heartbeatScheduled = false;
        if (this.heartbeatInFlight) this.changedSinceSent = true;
        else this.sendHeartbeat();
      }),
    );
  }

  private statusBody(): Record<string, unknown> {
    this.sequence += 1;
    return {
      host: this.info.name,
      addr: this.host.address,
      flavor: this.info.type,
      area: this.info.zone,
      loaner: this.info.spot,
      tenure: this.incarnation,
      tick: this.sequence,
      baton: this.token,
      warningS: this.reclaimAt === null ? null : Math.max(0, this.reclaimAt - this.environment.timeline.now) / S,
      shards: [...this.executor.list()].map((task) => ({
        shard: task.shard,
        try: task.try,
        phase: task.phase,
        ...(task.cause === null ? {} : { cause: task.cause, saved: task.saved }),
      })),
    };
  }

  private sendHeartbeat(): void {
    const { timeline, net, random, controllers, controllerLabels } = this.environment;
    if (this.heartbeatInFlight || this.ended) return;
    this.heartbeatInFlight = true;
    this.changedSinceSent = false;
    this.lastHeartbeat = timeline.now;
    const sent = timeline.now;
    const incarnation = this.incarnation;
    const request: HttpRequest = { method: "POST", target: "/hello", body: JSON.stringify(this.statusBody()) };
    const controller = controllers[this.controllerIndex] ?? "";
    const { restarts } = this;
    void net
      .client(this.host.address, this.clock)
      .call(controller, request, HEARTBEAT_TIMEOUT_US)
      .then((outcome) =>
        this.whenRunning(() => {
          if (restarts !== this.restarts) return;
          this.heartbeatInFlight = false;
          const late = timeline.now - sent > HEARTBEAT_TIMEOUT_US;
          if (late || outcome.kind !== "answer" || (outcome.status !== 200 && outcome.status !== 421)) {
            this.tryNextController();
            return;
          }
          if (outcome.status === 421) {
            const { steward } = JSON.parse(outcome.body) as { steward?: string };
            const at = controllerLabels.indexOf(steward ?? "");
            if (at < 0 || at === this.controllerIndex) this.tryNextController();
            else {
              this.controllerIndex = at;
              timeline.after(random.int(0, S / 2), () => this.whenRunning(() => this.sendHeartbeat()));
            }
            return;
          }
          if (this.changedSinceSent) this.scheduleHeartbeat();
          const { baton, orders } = JSON.parse(outcome.body) as { baton?: number; orders: Command[] };
          if (baton === undefined || baton < this.token || incarnation !== this.incarnation) return;
          this.observeToken(baton);
          this.leaseStart = Math.max(this.leaseStart, sent);
          for (const order of orders) this.execute(order);
        }),
      );
  }

  private tryNextController(): void {
    this.controllerIndex = (this.controllerIndex + 1) % this.environment.controllers.length;
    this.environment.timeline.after(S, () => this.whenRunning(() => this.sendHeartbeat()));
  }

  private observeToken(token: number): void {
    const { timeline, times } = this.environment;
    if (token <= this.token) return;
    this.token = token;
    if (timeline.now - this.lastTokenHeartbeat < times.leaseUs / 2) return;
    this.lastTokenHeartbeat = timeline.now;
    this.scheduleHeartbeat();
  }

  private serve(request: HttpRequest): Promise<HttpResponse> {
    return new Promise((resolve) =>
      this.whenRunning(() => {
        if (request.target === "/status") {
          resolve(json(200, this.statusBody()));
          return;
        }
        const { baton, tenure, orders } = JSON.parse(request.body) as {
          baton?: number;
          tenure?: number;
          orders: Command[];
        };
        if (baton === undefined || tenure === undefined) resolve(json(400, {}));
        else if (baton < this.token || tenure !== this.incarnation) resolve(json(409, this.statusBody()));
        else {
          this.observeToken(baton);
          for (const order of orders) this.execute(order);
          resolve(json(200, this.statusBody()));
        }
      }),
    );
  }

  private execute({ verb, shard, try: attempt, windDownS }: Command): void {
    if (verb === "forget") this.executor.forget(shard, attempt);
    else if (verb === "halt") this.executor.stop(shard, attempt, windDownS ?? 0);
    else if (verb === "launch") this.executor.start(shard, attempt);
  }
}
