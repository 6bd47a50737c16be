import type { Request, Response } from "../../src/transport/http.js";
import type { Random } from "../random.js";
import type { Checker, TrueMachine } from "./checker.js";
import { type Host, HostClock, json, type Network, S, type World } from "./world.js";

export interface TypeInfo {
  readonly sku: string;
  readonly cpus: number;
  readonly ramGb: number;
  readonly bootS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly areas: readonly string[];
}

/** What the worker fetches of a job, and how it behaves. */
export interface Behaviour {
  readonly cpus: number;
  readonly ramGb: number;
  readonly bundle: string;
  readonly sizeGb: number;
  readonly runUs: number | null;
  readonly saveTakesS: number;
  readonly saves: boolean;
  readonly failsAlways: boolean;
  /** Tasks that must be together, for a gang; else 0. */
  readonly gang: number;
}

interface Member {
  readonly start: () => void;
  readonly abandon: () => void;
}

/** Who of which gang is on a machine: workers of a gang's tasks know of each other. */
export type Gangs = Map<string, Map<string, Member>>;

const GANG_WAIT = 30 * S;
const GANG_PEER = 8 * S;

export interface WorkerTimes {
  readonly reportUs: number;
  readonly leaseUs: number;
}

interface RunningTask {
  readonly shard: string;
  readonly try: number;
  phase: "pulling" | "waiting" | "running" | "flushing" | "exited";
  cause: string | null;
  saved: boolean;
  on: boolean;
  generation: number;
}

interface Order {
  readonly verb: string;
  readonly shard: string;
  readonly try: number;
  readonly windDownS?: number;
}

/** Stand-in for a worker on its machine. */
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
  private readonly images = new Set<string>();
  private noticeAt: number | null = null;
  private gone = false;
  sick = false;
  readonly host: Host;

  constructor(
    private readonly world: World,
    private readonly network: Network,
    private readonly random: Random,
    private readonly checker: Checker,
    readonly info: TrueMachine,
    private readonly type: TypeInfo,
    private readonly behaviours: ReadonlyMap<string, Behaviour>,
    private readonly nodes: readonly string[],
    private readonly labels: readonly string[],
    private readonly times: WorkerTimes,
    private readonly gangs: Gangs,
  ) {
    this.leaseBase = world.now;
    this.node = random.int(0, nodes.length - 1);
    this.host = {
      address: `10.1.${random.int(0, 255)}.${random.int(1, 254)}:${random.int(1_000, 60_000)}`,
      serve: (r) => this.serve(r),
      state: "up",
    };
    network.add(this.host);
    this.regular();
    this.watchLease();
  }

  hang(forUs: number): void {
    this.hungUntil = this.world.now + forUs;
  }

  notice(inUs: number): void {
    this.noticeAt = this.world.now + inUs;
    this.changed();
  }

  /** Taken, deleted or lost: silent from now on, and nothing is on it any more. */
  end(): void {
    this.gone = true;
    this.host.state = "silent";
    this.killAll();
  }

  private awake(run: () => void): void {
    if (this.gone) return;
    if (this.hungUntil > this.world.now) this.world.at(this.hungUntil + 1, () => this.awake(run));
    else run();
  }

  private killAll(): void {
    for (const task of this.tasks.values()) this.leave(task);
    this.tasks = new Map();
  }

  private leave(task: RunningTask): void {
    task.generation += 1;
    if (task.on) this.checker.taskOff(task.shard, this.info);
    task.on = false;
    const job = task.shard.slice(0, task.shard.lastIndexOf("/"));
    const gang = this.gangs.get(job);
    const finished = this.checker.finished.get(job)?.has(task.shard) === true;
    if (gang?.delete(task.shard) !== true || finished) return;
    this.world.after(GANG_PEER, () => {
      if (!gang.has(task.shard)) for (const member of [...gang.values()]) member.abandon();
    });
  }

  private watchLease(): void {
    if (this.gone) return;
    // Holds for a hanging machine as well: what it had is over when it goes on.
    if (this.world.now - this.leaseBase > this.times.leaseUs) {
      this.killAll();
      this.session += 1;
      this.leaseBase = this.world.now;
      this.changed();
    }
    this.world.after(S / 10, () => this.watchLease());
  }

  private regular(): void {
    this.awake(() => this.report());
    this.world.after(this.times.reportUs * (0.75 + this.random.next() / 2), () => {
      if (!this.gone) this.regular();
    });
  }

  private changed(): void {
    if (this.changeArmed) return;
    this.changeArmed = true;
    this.world.at(Math.max(this.world.now + 1_000, this.lastReport + S / 2), () =>
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
      warningS: this.noticeAt === null ? null : Math.max(0, this.noticeAt - this.world.now) / S,
      shards: [...this.tasks.values()].map((task) => ({
        shard: task.shard,
        try: task.try,
        phase: task.phase,
        ...(task.cause === null ? {} : { cause: task.cause, saved: task.saved }),
      })),
    };
  }

  private report(): void {
    if (this.inFlight || this.gone) return;
    this.inFlight = true;
    this.lastReport = this.world.now;
    const sent = this.world.now;
    const session = this.session;
    const request: Request = { method: "POST", target: "/hello", body: JSON.stringify(this.body()) };
    const clock = new HostClock(this.world, 1, 0);
    const node = this.nodes[this.node] ?? "";
    void this.network
      .client(this.host.address, clock)
      .call(node, request, (4 * S) as never)
      .then((outcome) =>
        this.awake(() => {
          this.inFlight = false;
          const late = this.world.now - sent > 4 * S;
          if (late || outcome.kind !== "answer" || (outcome.status !== 200 && outcome.status !== 421)) {
            this.next();
            return;
          }
          if (outcome.status === 421) {
            const { steward } = JSON.parse(outcome.body) as { steward?: string };
            const at = this.labels.indexOf(steward ?? "");
            if (at < 0 || at === this.node) this.next();
            else {
              this.node = at;
              this.world.after(this.random.int(0, S / 2), () => this.awake(() => this.report()));
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
    this.node = (this.node + 1) % this.nodes.length;
    this.world.after(S, () => this.awake(() => this.report()));
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

  private key(shard: string, attempt: number): string {
    return `${shard}#${attempt}`;
  }

  private exit(task: RunningTask, cause: string, saved = false): void {
    this.leave(task);
    task.phase = "exited";
    task.cause = cause;
    task.saved = saved;
    this.changed();
  }

  private execute(order: Order): void {
    const key = this.key(order.shard, order.try);
    const known = this.tasks.get(key);
    if (order.verb === "forget") {
      if (known?.phase === "exited") this.tasks.delete(key);
    } else if (order.verb === "halt") {
      if (known !== undefined && known.phase !== "exited") this.halt(known, order.windDownS ?? 0);
    } else if (order.verb === "launch" && known === undefined) this.launch(order, key);
  }

  private halt(task: RunningTask, windDownS: number): void {
    const behaviour = this.behaviours.get(task.shard.slice(0, task.shard.lastIndexOf("/")));
    const saves = task.phase === "running" && behaviour?.saves === true && windDownS >= behaviour.saveTakesS;
    if (!saves) {
      if (task.phase !== "flushing" || windDownS === 0) this.exit(task, "halted");
      return;
    }
    task.phase = "flushing";
    task.generation += 1;
    const { generation } = task;
    this.world.after(behaviour.saveTakesS * S, () =>
      this.awake(() => {
        if (task.generation === generation) this.exit(task, "halted", true);
      }),
    );
    this.changed();
  }

  private launch(order: Order, key: string): void {
    const job = order.shard.slice(0, order.shard.lastIndexOf("/"));
    const behaviour = this.behaviours.get(job);
    const task: RunningTask = {
      shard: order.shard,
      try: order.try,
      phase: "pulling",
      cause: null,
      saved: false,
      on: false,
      generation: 0,
    };
    const active = [...this.tasks.values()].filter((other) => other.phase !== "exited");
    this.tasks.set(key, task);
    this.changed();
    const need = (other: RunningTask): number =>
      this.behaviours.get(other.shard.slice(0, other.shard.lastIndexOf("/")))?.cpus ?? 0;
    if (behaviour === undefined) this.exit(task, "no_such");
    else if (active.some((other) => other.shard === order.shard)) this.exit(task, "in_use");
    else if (active.reduce((sum, other) => sum + need(other), behaviour.cpus) > this.type.cpus) this.exit(task, "full");
    else {
      const fetch = this.images.has(behaviour.bundle) ? 1_000 : behaviour.sizeGb * S * (0.7 + this.random.next() * 0.6);
      const { generation } = task;
      this.world.after(fetch, () =>
        this.awake(() => {
          if (task.generation === generation) this.begin(task, behaviour);
        }),
      );
    }
  }

  private begin(task: RunningTask, behaviour: Behaviour): void {
    this.images.add(behaviour.bundle);
    task.phase = "running";
    task.on = true;
    this.checker.taskOn(task.shard, this.info);
    this.changed();
    if (behaviour.gang > 0) this.join(task, behaviour);
    else this.work(task, behaviour);
  }

  private join(task: RunningTask, behaviour: Behaviour): void {
    const job = task.shard.slice(0, task.shard.lastIndexOf("/"));
    const gang = this.gangs.get(job) ?? new Map<string, Member>();
    this.gangs.set(job, gang);
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
    this.world.after(GANG_WAIT, () => still("waiting", () => this.exit(task, "incomplete")));
    const done = [...(this.checker.finished.get(job) ?? [])].filter((shard) => !gang.has(shard)).length;
    if (gang.size + done >= behaviour.gang) for (const member of [...gang.values()]) member.start();
  }

  private work(task: RunningTask, behaviour: Behaviour): void {
    const { generation } = task;
    const fails = this.sick || behaviour.failsAlways;
    const job = task.shard.slice(0, task.shard.lastIndexOf("/"));
    const finished = this.checker.finished.get(job)?.has(task.shard) === true;
    if (behaviour.runUs === null && !fails) return;
    const run = fails ? S / 2 : finished ? 1_000 : (behaviour.runUs ?? 0);
    this.world.after(run, () =>
      this.awake(() => {
        if (task.generation !== generation) return;
        if (!fails) this.checker.taskDone(task.shard);
        this.exit(task, fails ? "error" : "done");
      }),
    );
  }
}

interface CloudMachine {
  readonly ref: string;
  readonly info: TrueMachine;
  readonly since: number;
  worker: Worker | null;
  phase: "starting" | "running" | "failed" | "gone";
}

/** Stand-in for the cloud: lists lag and go backwards, boots are late or never end, requests run late. */
export class CloudService {
  readonly machines = new Map<string, CloudMachine>();
  private readonly answers = new Map<string, string[]>();
  private next = 1;
  private history: { at: number; list: Record<string, unknown>[] }[] = [];
  outageUntil = 0;
  spotRoom = 6;
  ordinaryRoom = 8;
  neverBoots = 0.03;

  constructor(
    private readonly world: World,
    private readonly random: Random,
    readonly types: readonly TypeInfo[],
    private readonly boot: (info: TrueMachine, type: TypeInfo) => Worker,
    private readonly lagUs: number,
  ) {
    this.record();
  }

  private record(): void {
    const list = [...this.machines.values()]
      .filter((machine) => machine.phase !== "gone")
      .map((machine) => ({
        ref: machine.ref,
        addr: machine.worker?.host.address ?? null,
        flavor: machine.info.type,
        area: machine.info.zone,
        loaner: machine.info.spot,
        phase: machine.phase,
        heldS: (this.world.now - machine.since) / S,
      }));
    this.history.push({ at: this.world.now, list });
    this.history = this.history.filter((entry) => entry.at > this.world.now - 3 * this.lagUs);
    this.world.after(S / 2, () => this.record());
  }

  serve = async (request: Request): Promise<Response> => {
    await new Promise<void>((resolve) => this.world.after(100_000, resolve));
    if (this.outageUntil > this.world.now) return json(503, { error: "trouble" });
    if (request.target === "/catalog") {
      return json(200, { flavors: this.types.map((type) => ({ ...type, localGb: 20, pullGbPerS: 1 })) });
    }
    if (request.target.startsWith("/hosts?")) {
      const lag = this.lagUs * (0.3 + this.random.next() * 1.7);
      const entry = this.history.filter(({ at }) => at <= this.world.now - lag).at(-1);
      return json(200, { hosts: entry?.list ?? [], more: false });
    }
    if (request.target === "/hosts/delete") {
      const { hosts } = JSON.parse(request.body) as { hosts: string[] };
      for (const name of hosts) this.take(name);
      return json(200, {});
    }
    return this.rent(request.body);
  };

  private rent(body: string): Response {
    const { ask, flavor, area, loaner, number } = JSON.parse(body) as {
      ask: string;
      flavor: string;
      area: string;
      loaner: boolean;
      number: number;
    };
    const known = this.answers.get(ask);
    if (known !== undefined) return json(200, { hosts: known });
    const type = this.types.find((entry) => entry.sku === flavor);
    if (type === undefined || !type.areas.includes(area)) return json(400, {});
    const present = [...this.machines.values()].filter(
      (m) => m.phase !== "gone" && m.info.spot === loaner && m.info.zone === area,
    ).length;
    const room = Math.max(0, (loaner ? this.spotRoom : this.ordinaryRoom) - present);
    const count = Math.min(number, room);
    if (count === 0) return json(503, { error: "no capacity" });
    const hosts: string[] = [];
    for (let at = 0; at < count; at += 1) hosts.push(this.add(type, area, loaner));
    this.answers.set(ask, hosts);
    return json(200, { hosts });
  }

  add(type: TypeInfo, zone: string, spot: boolean): string {
    const ref = `n-${String(this.next++).padStart(6, "0")}`;
    const info: TrueMachine = { name: ref, type: type.sku, zone, spot };
    const machine: CloudMachine = { ref, info, since: this.world.now, worker: null, phase: "starting" };
    this.machines.set(ref, machine);
    if (this.random.chance(this.neverBoots)) return ref;
    const factor = this.random.chance(0.1) ? 4 : this.random.chance(0.1) ? 0.05 : 0.6 + this.random.next() * 0.9;
    this.world.after(type.bootS * S * factor, () => {
      if (machine.phase !== "starting") return;
      machine.phase = "running";
      machine.worker = this.boot(info, type);
    });
    return ref;
  }

  take(name: string): void {
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    machine.phase = "gone";
    machine.worker?.end();
  }

  running(): CloudMachine[] {
    return [...this.machines.values()].filter((machine) => machine.phase === "running");
  }
}
