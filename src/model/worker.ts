import type { Micros } from "../transport/clock.js";
import type { Request, Response } from "../transport/http.js";
import { type Host, json, type Net } from "./network.js";
import type { Luck, Random } from "./random.js";
import type { TypeSpec } from "./site-spec.js";
import type { EndCause, HostInfo, Witness } from "./witness.js";
import { HostClock, S, type Timeline } from "./world.js";

/** What a worker fetches of a job, and how its tasks behave. Amounts as on the wire, times in microseconds. */
export interface Behaviour {
  readonly cpus: number;
  readonly gpus: number;
  readonly ramGb: number;
  readonly bundle: string;
  readonly sizeGb: number;
  /** Time that a task runs on an ordinary machine; null: until it is stopped. */
  readonly runUs: number | null;
  /** By task, where tasks differ; the others take `runUs`. */
  readonly runsUs?: ReadonlyMap<number, number>;
  /** Progress is kept every so often; 0: never. */
  readonly saveEveryUs: number;
  readonly saveTakesUs: number;
  readonly failsAlways: boolean;
  /** Tasks that must be together, for a gang; else 0. */
  readonly gang: number;
}

interface Member {
  readonly start: () => void;
  readonly abandon: () => void;
}

/** What outlives every machine: results, progress saved outside, and who of which gang is where. */
export class Truth {
  readonly behaviours = new Map<string, Behaviour>();
  readonly gangs = new Map<string, Map<string, Member>>();
  private readonly finished = new Map<string, Set<string>>();
  private readonly saved = new Map<string, number>();

  isDone(task: string): boolean {
    return this.finished.get(jobOf(task))?.has(task) === true;
  }

  done(task: string): void {
    const known = this.finished.get(jobOf(task));
    if (known === undefined) this.finished.set(jobOf(task), new Set([task]));
    else known.add(task);
    this.saved.delete(task);
  }

  doneOf(job: string): ReadonlySet<string> {
    return this.finished.get(job) ?? new Set();
  }

  progress(task: string): number {
    return this.saved.get(task) ?? 0;
  }

  save(task: string, progressUs: number): void {
    this.saved.set(task, progressUs);
  }
}

export const jobOf = (task: string): string => task.slice(0, task.lastIndexOf("/"));

export interface WorkerTimes {
  readonly reportUs: number;
  readonly leaseUs: number;
  readonly gangWaitUs: number;
  readonly gangPeerUs: number;
}

/** What a worker has around it. */
export interface Surroundings {
  readonly timeline: Timeline;
  readonly net: Net;
  readonly random: Random;
  readonly luck: Luck;
  readonly witness: Witness;
  readonly truth: Truth;
  /** Addresses and labels of the controllers. */
  readonly nodes: readonly string[];
  readonly labels: readonly string[];
  readonly times: WorkerTimes;
}

interface RunningTask {
  readonly shard: string;
  readonly try: number;
  phase: "pulling" | "waiting" | "running" | "flushing" | "exited";
  cause: EndCause | null;
  saved: boolean;
  on: boolean;
  begunAt: number | null;
  generation: number;
}

interface Order {
  readonly verb: string;
  readonly shard: string;
  readonly try: number;
  readonly windDownS?: number;
}

/** An image on its way: one fetch for all tasks that wait for it. */
interface Fetch {
  readonly waiting: Set<RunningTask>;
}

const REPORT_PATIENCE = (4 * S) as Micros;
/** Machines of one type differ by up to a tenth. */
const SPEED_SPREAD = 0.05;
const FAILS_AFTER = S / 2;

/** Stand-in for a worker on its machine, as the protocol describes it. */
export class Worker {
  private tasks = new Map<string, RunningTask>();
  private session = 1;
  private tick = 0;
  private token = 0;
  private leaseBase: number;
  private node: number;
  private inFlight = false;
  private lastReport = -S;
  private changeArmed = false;
  private hungUntil = 0;
  /** Least recently used first, with their size. */
  private readonly images = new Map<string, number>();
  private readonly fetches = new Map<string, Fetch>();
  private noticeAt: number | null = null;
  private gone = false;
  /** Fails every task that it starts. */
  sick = false;
  readonly host: Host;
  private readonly clock: HostClock;
  private readonly speed: number;

  constructor(
    private readonly around: Surroundings,
    readonly info: HostInfo,
    private readonly type: TypeSpec,
  ) {
    const { timeline, net, random, luck, nodes } = around;
    this.leaseBase = timeline.now;
    this.node = random.int(0, nodes.length - 1);
    this.speed = luck.between("speed", info.name, 1 - SPEED_SPREAD, 1 + SPEED_SPREAD);
    this.clock = new HostClock(timeline, 1, 0);
    this.host = { address: net.address(), serve: (request) => this.serve(request), state: "up" };
    net.add(this.host);
    this.regular();
    this.watchLease();
  }

  hang(forUs: number): void {
    this.hungUntil = this.around.timeline.now + forUs;
  }

  notice(inUs: number): void {
    this.noticeAt = this.around.timeline.now + inUs;
    this.changed();
  }

  /** Taken, deleted or lost: silent from now on, and nothing is on it any more. */
  end(): void {
    this.gone = true;
    this.host.state = "silent";
    this.around.net.remove(this.host);
    this.killAll();
  }

  private awake(run: () => void): void {
    if (this.gone) return;
    if (this.hungUntil > this.around.timeline.now) this.around.timeline.at(this.hungUntil + 1, () => this.awake(run));
    else run();
  }

  private killAll(): void {
    for (const task of this.tasks.values()) this.leave(task);
    this.tasks = new Map();
    this.fetches.clear();
  }

  private ran(task: RunningTask): number {
    return task.begunAt === null ? 0 : this.around.timeline.now - task.begunAt;
  }

  private leave(task: RunningTask): void {
    const { truth, timeline, times, witness } = this.around;
    task.generation += 1;
    if (task.on) witness.taskOff(task.shard, this.info);
    task.on = false;
    this.checkpoint(task);
    const gang = truth.gangs.get(jobOf(task.shard));
    if (gang?.delete(task.shard) !== true || truth.isDone(task.shard)) return;
    timeline.after(times.gangPeerUs, () => {
      if (!gang.has(task.shard)) for (const member of [...gang.values()]) member.abandon();
    });
  }

  /** What the task has saved by itself so far is kept outside the machine. */
  private checkpoint(task: RunningTask, all = false): void {
    const { truth } = this.around;
    const every = truth.behaviours.get(jobOf(task.shard))?.saveEveryUs ?? 0;
    if (every <= 0 || task.begunAt === null || task.phase === "exited" || truth.isDone(task.shard)) return;
    const progress = truth.progress(task.shard) + this.ran(task) * this.speed;
    truth.save(task.shard, all ? progress : Math.floor(progress / every) * every);
  }

  private watchLease(): void {
    const { timeline, times } = this.around;
    if (this.gone) return;
    // Holds for a hanging machine as well: what it had is over when it goes on.
    if (timeline.now - this.leaseBase > times.leaseUs) {
      this.killAll();
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
        this.report();
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
      shards: [...this.tasks.values()].map((task) => ({
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
    this.lastReport = timeline.now;
    const sent = timeline.now;
    const session = this.session;
    const request: Request = { method: "POST", target: "/hello", body: JSON.stringify(this.body()) };
    const node = nodes[this.node] ?? "";
    void net
      .client(this.host.address, this.clock)
      .call(node, request, REPORT_PATIENCE)
      .then((outcome) =>
        this.awake(() => {
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
    if (token > this.token) this.changed();
    this.token = Math.max(this.token, token);
  }

  private serve(request: Request): Promise<Response> {
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

  private exit(task: RunningTask, cause: EndCause, saved = false): void {
    const ran = this.ran(task);
    this.leave(task);
    task.phase = "exited";
    task.cause = cause;
    task.saved = saved;
    this.around.witness.taskEnded(task.shard, this.info, cause, ran);
    this.changed();
  }

  private execute(order: Order): void {
    const key = `${order.shard}#${order.try}`;
    const known = this.tasks.get(key);
    if (order.verb === "forget") {
      if (known?.phase === "exited") this.tasks.delete(key);
    } else if (order.verb === "halt") {
      if (known !== undefined && known.phase !== "exited") this.halt(known, order.windDownS ?? 0);
    } else if (order.verb === "launch" && known === undefined) this.launch(order, key);
  }

  private halt(task: RunningTask, windDownS: number): void {
    const behaviour = this.around.truth.behaviours.get(jobOf(task.shard));
    const can = task.phase === "running" && behaviour !== undefined && behaviour.saveEveryUs > 0;
    if (!can || windDownS * S < behaviour.saveTakesUs) {
      if (task.phase !== "flushing" || windDownS === 0) this.exit(task, "halted");
      return;
    }
    this.checkpoint(task, true);
    task.phase = "flushing";
    task.generation += 1;
    const { generation } = task;
    this.around.timeline.after(behaviour.saveTakesUs, () =>
      this.awake(() => {
        if (task.generation !== generation) return;
        task.begunAt = null;
        this.exit(task, "halted", true);
      }),
    );
    this.changed();
  }

  private fits(behaviour: Behaviour, active: readonly RunningTask[]): boolean {
    let { cpus, gpus, ramGb } = behaviour;
    for (const { shard } of active) {
      const other = this.around.truth.behaviours.get(jobOf(shard));
      cpus += other?.cpus ?? 0;
      gpus += other?.gpus ?? 0;
      ramGb += other?.ramGb ?? 0;
    }
    const slack = 1e-6;
    return cpus <= this.type.cpus + slack && gpus <= this.type.gpus + slack && ramGb <= this.type.ramGb + slack;
  }

  private launch(order: Order, key: string): void {
    const behaviour = this.around.truth.behaviours.get(jobOf(order.shard));
    const task: RunningTask = {
      shard: order.shard,
      try: order.try,
      phase: "pulling",
      cause: null,
      saved: false,
      on: false,
      begunAt: null,
      generation: 0,
    };
    const active = [...this.tasks.values()].filter((other) => other.phase !== "exited");
    this.tasks.set(key, task);
    this.changed();
    if (behaviour === undefined) this.exit(task, "no_such");
    else if (active.some((other) => other.shard === order.shard)) this.exit(task, "in_use");
    else if (!this.fits(behaviour, active)) this.exit(task, "full");
    else this.pull(task, behaviour);
  }

  private pull(task: RunningTask, behaviour: Behaviour): void {
    const { timeline, luck } = this.around;
    const { bundle, sizeGb } = behaviour;
    const { generation } = task;
    // Tasks of several jobs may wait for one image.
    const ready = (other: RunningTask): void =>
      this.awake(() => {
        const own = this.around.truth.behaviours.get(jobOf(other.shard));
        if (own !== undefined && other.generation === 0 && other.phase === "pulling") this.begin(other, own);
      });
    if (this.images.has(bundle)) {
      timeline.after(1_000, () => {
        if (task.generation === generation) ready(task);
      });
      return;
    }
    const under = this.fetches.get(bundle);
    if (under !== undefined) {
      under.waiting.add(task);
      return;
    }
    const fetch: Fetch = { waiting: new Set([task]) };
    this.fetches.set(bundle, fetch);
    const slow = luck.between("fetch", `${this.info.name}/${bundle}`, 0.7, 1.3);
    timeline.after((sizeGb / this.type.fetchGbPerS) * S * slow, () =>
      this.awake(() => {
        if (this.fetches.get(bundle) === fetch) this.fetches.delete(bundle);
        const wanted = [...fetch.waiting].filter((other) => other.phase === "pulling");
        // Given up when no task waits for it any more.
        if (wanted.length > 0) this.keep(bundle, sizeGb);
        for (const other of wanted) ready(other);
      }),
    );
  }

  /** The most recently used images stay, as far as there is room for them. */
  private keep(bundle: string, sizeGb: number): void {
    this.images.delete(bundle);
    this.images.set(bundle, sizeGb);
    let sum = 0;
    for (const size of this.images.values()) sum += size;
    const used = new Set<string>();
    for (const { shard, phase } of this.tasks.values()) {
      const other = this.around.truth.behaviours.get(jobOf(shard));
      if (phase !== "exited" && other !== undefined) used.add(other.bundle);
    }
    for (const [name, size] of this.images) {
      if (sum <= this.type.cacheGb) return;
      if (used.has(name)) continue;
      this.images.delete(name);
      sum -= size;
    }
  }

  private begin(task: RunningTask, behaviour: Behaviour): void {
    this.keep(behaviour.bundle, behaviour.sizeGb);
    task.phase = "running";
    task.on = true;
    this.around.witness.taskOn(task.shard, this.info, task.try);
    this.changed();
    if (behaviour.gang > 0) this.join(task, behaviour);
    else this.work(task, behaviour);
  }

  private join(task: RunningTask, behaviour: Behaviour): void {
    const { truth, timeline, times } = this.around;
    const job = jobOf(task.shard);
    const gang = truth.gangs.get(job) ?? new Map<string, Member>();
    truth.gangs.set(job, gang);
    const { generation } = task;
    const still = (phase: string, run: () => void): void =>
      this.awake(() => {
        if (task.generation === generation && task.phase === phase) run();
      });
    task.phase = "waiting";
    gang.set(task.shard, {
      start: () =>
        still("waiting", () => {
          task.phase = "running";
          this.changed();
          this.work(task, behaviour);
        }),
      abandon: () => still("running", () => this.exit(task, "mates_gone")),
    });
    timeline.after(times.gangWaitUs, () => still("waiting", () => this.exit(task, "incomplete")));
    const done = [...truth.doneOf(job)].filter((shard) => !gang.has(shard)).length;
    if (gang.size + done >= behaviour.gang) for (const member of [...gang.values()]) member.start();
  }

  private work(task: RunningTask, behaviour: Behaviour): void {
    const { truth, timeline, witness } = this.around;
    const { generation } = task;
    task.begunAt = timeline.now;
    const fails = this.sick || behaviour.failsAlways;
    if (behaviour.runUs === null && !fails) return;
    const index = Number(task.shard.slice(task.shard.lastIndexOf("/") + 1));
    const whole = behaviour.runsUs?.get(index) ?? behaviour.runUs ?? 0;
    const left = Math.max(0, whole - truth.progress(task.shard)) / this.speed;
    const run = fails ? FAILS_AFTER : truth.isDone(task.shard) ? 1_000 : left;
    timeline.after(run, () =>
      this.awake(() => {
        if (task.generation !== generation) return;
        if (!fails) {
          truth.done(task.shard);
          witness.taskDone(task.shard);
        }
        this.exit(task, fails ? "error" : "done");
      }),
    );
  }
}
