import { Controller } from "../../src/coordination/controller.js";
import { DEFAULT_OPTIONS, type Options } from "../../src/settings/options.js";
import { parseSettings, type Settings } from "../../src/settings/settings.js";
import type { Micros } from "../../src/transport/clock.js";
import type { Request } from "../../src/transport/http.js";
import type { Log } from "../../src/transport/log.js";
import { settingsText } from "../fixtures.js";
import { Random } from "../random.js";
import { BrokenRule, Checker } from "./checker.js";
import { type Behaviour, CloudService, type Gangs, type TypeInfo, Worker } from "./fleet.js";
import { StateService } from "./state-service.js";
import { type Host, HostClock, Network, S, World } from "./world.js";

const LABELS = ["ctl-0", "ctl-1", "ctl-2"];
const ADDRESSES = ["10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080"];
const STATE = "10.2.0.1:2379";
const CLOUD = "10.2.0.2:8443";

const TYPES: readonly TypeInfo[] = [
  { sku: "big", cpus: 16, ramGb: 64, bootS: 12, price: 0.8, spotPrice: 0.3, areas: ["east", "west"] },
  { sku: "small", cpus: 4, ramGb: 32, bootS: 8, price: 0.25, spotPrice: 0.1, areas: ["east", "west"] },
];

interface Node {
  clock: HostClock;
  readonly host: Host & { state: Host["state"] };
  controller: Controller | null;
  starts: number;
}

export interface Submission {
  readonly ref: string;
  readonly owner: string;
  readonly shape: "sweep" | "ensemble" | "daemon";
  readonly shards: number;
  readonly cpus: number;
  readonly [field: string]: unknown;
}

/** Three controllers' real code, and stand-ins for all that is around them, on one simulated clock. */
export class Cluster {
  readonly world = new World();
  readonly random: Random;
  readonly network: Network;
  readonly state: StateService;
  readonly cloud: CloudService;
  readonly checker: Checker;
  readonly errors: string[] = [];
  readonly answers: { readonly at: number; readonly id: string; readonly phase: string }[] = [];
  private readonly behaviours = new Map<string, Behaviour>();
  private readonly nodes: Node[];
  private readonly settings: Settings[];
  private readonly options: Options;
  private readonly log: string[] = [];
  /** Lets a test change what users send on its way. */
  alter: (request: Request) => Request = (request) => request;

  constructor(seed: number, options: Partial<Options> = {}, alterSettings: (text: string) => string = (text) => text) {
    this.random = new Random(seed);
    this.options = { ...DEFAULT_OPTIONS, ...options };
    this.settings = LABELS.map((_, index) => parseSettings(alterSettings(settingsText(index))));
    const truth = parseSettings(alterSettings(settingsText(0)));
    const limits = new Map<string, number>();
    // Not altered: a test may hand the controllers a wrong limit to see the checker notice.
    for (const team of parseSettings(settingsText(0)).teams.values())
      if (team.limit.cpu !== null) limits.set(team.name, team.limit.cpu / 1_000);
    this.network = new Network(this.world, this.random);
    this.checker = new Checker(() => this.world.now, limits, truth.workers.cancel);
    this.state = new StateService(this.world, this.random, {
      rps: truth.state.rps,
      writeRps: truth.state.writeRps,
      txnOps: truth.state.transactionWrites,
      valueBytes: truth.state.valueBytes,
    });
    this.network.add({ address: STATE, serve: (request, from) => this.state.serve(request, from), state: "up" });
    const gangs: Gangs = new Map();
    this.cloud = new CloudService(
      this.world,
      this.random,
      TYPES,
      (info, type) =>
        new Worker(
          this.world,
          this.network,
          this.random,
          this.checker,
          info,
          type,
          this.behaviours,
          ADDRESSES,
          LABELS,
          {
            reportUs: truth.workers.report,
            leaseUs: truth.workers.lease,
          },
          gangs,
        ),
      truth.cloud.listLag,
    );
    this.network.add({ address: CLOUD, serve: (request) => this.cloud.serve(request), state: "up" });
    this.nodes = ADDRESSES.map((address) => this.makeNode(address));
    for (let at = 0; at < 3; at += 1) this.start(at);
  }

  private makeNode(address: string): Node {
    const node: Node = {
      clock: new HostClock(this.world, 1, 0),
      host: {
        address,
        state: "refusing",
        serve: (request) => {
          const { controller, clock } = node;
          if (controller === null) return new Promise(() => undefined);
          return new Promise((resolve) => {
            void controller.handle(request).then((response) => {
              if (!clock.dead) resolve(response);
            });
          });
        },
      },
      controller: null,
      starts: 0,
    };
    this.network.add(node.host);
    return node;
  }

  private start(at: number): void {
    const node = this.nodes[at];
    const settings = this.settings[at];
    if (node === undefined || settings === undefined) return;
    node.starts += 1;
    node.clock = new HostClock(this.world, 1 + this.random.next() * 0.0005, this.random.int(0, 1e9));
    const { clock } = node;
    const line =
      (level: string): Log["info"] =>
      (event, fields) => {
        this.log.push(
          `${(this.world.now / S).toFixed(3)} ctl-${at} ${event} ${JSON.stringify(fields ?? {}, (_, value: unknown) => (typeof value === "bigint" ? String(value) : value))}`,
        );
        // Malformed answers are errors that the stand-ins never give; any error is a defect.
        if (level === "error") this.errors.push(this.log.at(-1) ?? event);
      };
    const outside = {
      clock,
      log: { error: line("error"), info: line("info"), debug: () => undefined },
      http: this.network.client(node.host.address, clock),
      random: this.random.next,
    };
    node.controller = new Controller(outside, settings, this.options, `inc-${at}-${node.starts}`);
    node.host.state = "up";
    node.controller.start();
  }

  crash(at: number, backAfterUs = 3 * S): void {
    const node = this.nodes[at];
    if (node === undefined || node.controller === null) return;
    node.clock.dead = true;
    node.controller = null;
    node.host.state = "refusing";
    this.world.after(backAfterUs, () => this.start(at));
  }

  nodeAddress(at: number): string {
    return ADDRESSES[at] ?? "";
  }

  /** Cuts this controller off from the state service (and only from it). */
  cutFromState(at: number, forUs: number, mode: "hold" | "reset"): void {
    const address = this.nodeAddress(at);
    this.network.cut((a, b) => a === address && b === STATE, forUs, mode);
  }

  /** The controller that took the block last. */
  holder(): number {
    const taken = this.log.filter((line) => line.includes(" block taken "));
    return Number(/ctl-(\d)/.exec(taken.at(-1) ?? "")?.[1] ?? 0);
  }

  /** Cuts a controller off from all machines, and from nothing else. */
  cutFromWorkers(at: number, forUs: number, mode: "hold" | "reset"): void {
    const address = this.nodeAddress(at);
    const others = [STATE, CLOUD, "user", ...ADDRESSES];
    this.network.cut((a, b) => a === address && !others.includes(b), forUs, mode);
  }

  /** Cuts one machine off from every controller. */
  cutMachine(address: string, forUs: number, mode: "hold" | "reset"): void {
    this.network.cut((a, b) => a === address && ADDRESSES.includes(b), forUs, mode);
  }

  /** Cuts all machines of a zone off from every controller. */
  cutZone(zone: string, forUs: number, mode: "hold" | "reset"): void {
    const inside = new Set(
      this.cloud.running().flatMap(({ info, worker }) => (info.zone === zone && worker ? [worker.host.address] : [])),
    );
    this.network.cut((a, b) => inside.has(a) && ADDRESSES.includes(b), forUs, mode);
  }

  async run(forUs: number): Promise<void> {
    try {
      await this.world.run(this.world.now + forUs, () => this.checker.tick());
    } catch (error) {
      if (!(error instanceof BrokenRule)) throw error;
      const tail = this.log.slice(-40).join("\n");
      throw new Error(`at ${this.world.now / S} s, seed ${this.random.seed}\n${tail}`, { cause: error });
    }
  }

  /** What is on record of a job and what was logged of it, for the message of a failed check. */
  story(id: string): string {
    const records = [`c/job/${id}`, `c/range/${id}/0`, `e/${id}`].map(
      (key) => `${key}: ${JSON.stringify(this.state.value(key))}`,
    );
    const lines = this.log.filter((line) => line.includes(id)).slice(-30);
    return [...records, ...lines, "...", ...this.log.slice(-15)].join("\n");
  }

  logged(event: string): boolean {
    return this.log.some((line) => line.includes(` ${event} `));
  }

  // Users -------------------------------------------------------------------------------------------------

  private ask(
    request: Request,
    done: (status: number | null, body: { phase?: string }) => void,
    timeoutUs = 5 * S,
  ): void {
    const clock = new HostClock(this.world, 1, 0);
    const to = this.random.pick(ADDRESSES);
    void this.network
      .client("user", clock)
      .call(to, this.alter(request), timeoutUs as Micros)
      .then((outcome) => {
        if (outcome.kind !== "answer") done(null, {});
        else done(outcome.status, JSON.parse(outcome.body) as { phase?: string });
      });
  }

  /** Submits as users do, retrying; then polls until told the end. */
  submit(job: Submission, behaviour: Partial<Behaviour> = {}): void {
    this.behaviours.set(job.ref, {
      cpus: job.cpus,
      ramGb: Number(job.ramGb),
      bundle: String(job.bundle),
      sizeGb: Number(job.sizeGb),
      runUs: job.shape === "daemon" ? null : 15 * S,
      saveTakesS: Number(job.saveTakesS),
      saves: Number(job.saveEveryS) > 0,
      failsAlways: false,
      gang: job.shape === "ensemble" ? job.shards : 0,
      ...behaviour,
    });
    this.checker.jobs.set(job.ref, {
      id: job.ref,
      team: job.owner,
      service: job.shape === "daemon",
      tasks: job.shards,
      cpus: job.cpus,
      types: job.flavors as string[] | null,
      zone: job.area as string | null,
      together: job.together === true,
      spread: job.spread === true,
      spot: job.loaner === true,
    });
    const until = this.world.now + 60 * S;
    const attempt = (): void =>
      this.ask({ method: "POST", target: "/v2/runs", body: JSON.stringify(job) }, (status, body) => {
        this.checker.submitted(job.ref, status ?? 0, body.phase ?? null);
        if (status === 200 || status === 201) {
          this.poll(job.ref);
          // A retry may come at any later time.
          if (this.random.chance(0.2)) this.world.after(this.random.int(0, 60 * S), () => this.resubmit(job));
        } else if (this.world.now < until && status !== 400 && status !== 422) this.world.after(S, attempt);
      });
    attempt();
  }

  private resubmit(job: Submission): void {
    this.ask({ method: "POST", target: "/v2/runs", body: JSON.stringify(job) }, (status, body) =>
      this.checker.submitted(job.ref, status ?? 0, body.phase ?? null),
    );
  }

  private poll(id: string): void {
    this.ask(
      { method: "GET", target: `/v2/runs/${id}`, body: "" },
      (status, body) => {
        this.checker.polled(id, status, body.phase ?? null);
        if (status === 200) this.answers.push({ at: this.world.now, id, phase: body.phase ?? "" });
        // Some go on asking after the end: the answer must stay.
        if (this.checker.finalOf(id) === null || this.random.chance(0.5)) {
          this.world.after(4 * S + this.random.int(0, 2 * S), () => this.poll(id));
        }
      },
      2 * S,
    );
  }

  /** Goes on polling past the end, as some users do. */
  keepAsking(id: string): void {
    this.poll(id);
    this.world.after(5 * S, () => this.keepAsking(id));
  }

  /** Sends a copy of chosen commands to every other machine. */
  alsoSend(choose: (request: Request) => Request | null): void {
    const clock = new HostClock(this.world, 1, 0);
    this.network.onRequest = (from, to, request) => {
      const others = this.cloud.running().filter((machine) => machine.worker?.host.address !== to);
      if (others.length === 0 || !ADDRESSES.includes(from)) return;
      const copy = choose(request);
      if (copy === null) return;
      const client = this.network.client(from, clock);
      for (const { worker } of others) if (worker !== null) void client.call(worker.host.address, copy, S as Micros);
    };
  }

  pollStranger(): void {
    const id = `wk-9${this.random.int(10_000, 99_999)}`;
    this.ask({ method: "GET", target: `/v2/runs/${id}`, body: "" }, (status, body) =>
      this.checker.polled(id, status, body.phase ?? null),
    );
  }

  cancel(id: string): void {
    if (!this.checker.accepted().includes(id)) {
      // Users cancel what they know to be accepted; an earlier 404 could arrive after the acceptance.
      this.world.after(S, () => this.cancel(id));
      return;
    }
    this.checker.cancelAsked(id);
    const attempt = (): void =>
      this.ask({ method: "POST", target: `/v2/runs/${id}/abort`, body: "" }, (status, body) => {
        this.checker.cancelAnswered(id, status ?? 0, body.phase ?? null);
        if (status !== 200) this.world.after(S, attempt);
      });
    attempt();
  }

  /** Tasks that ought to run for ever and do not. */
  missingReplicas(): string[] {
    return this.checker.accepted().flatMap((id) => {
      const job = this.checker.jobs.get(id);
      if (job === undefined || !job.service || this.checker.finalOf(id) !== null) return [];
      return Array.from({ length: job.tasks }, (_, at) => `${id}/${at}`).filter((task) => !this.checker.isOn(task));
    });
  }

  unfinished(): string[] {
    return this.checker.accepted().filter((id) => {
      const job = this.checker.jobs.get(id);
      return job !== undefined && !job.service && this.checker.finalOf(id) === null;
    });
  }
}

/** A job like the ones that users send. */
export const randomJob = (random: Random, number: number): Submission => {
  const service = random.chance(0.3);
  const capped = !service && random.chance(0.4);
  const spread = service && random.chance(0.7);
  return {
    ref: `wk-${String(number).padStart(6, "0")}`,
    jobclass: service ? "web" : "batch",
    owner: capped ? "capped" : "open",
    shape: service ? "daemon" : random.chance(0.15) ? "ensemble" : "sweep",
    rank: service ? "prod" : random.pick(["high", "normal", "best_effort"]),
    shards: service ? random.int(1, 3) : random.int(1, 9),
    cpus: service ? 1 : random.pick(capped ? [1] : [1, 2, 4]),
    accelerators: 0,
    ramGb: 2.5,
    bundle: random.pick(["img-a", "img-b", "img-c"]),
    sizeGb: random.int(1, 30) / 10,
    flavors: random.chance(0.2) ? ["big"] : null,
    // Spread over zones within one zone could never be met.
    area: !spread && random.chance(0.15) ? random.pick(["east", "west"]) : null,
    together: !service && random.chance(0.1),
    spread,
    loaner: !service && random.chance(0.6),
    guessS: service ? 0 : 15,
    saveEveryS: random.chance(0.3) ? 5 : 0,
    saveTakesS: 2,
    dueS: random.chance(0.3) ? 60 : null,
  };
};

/** An ordinary job, but for the given fields. */
export const plainJob = (ref: string, fields: Partial<Submission> = {}): Submission => ({
  ref,
  jobclass: "batch",
  owner: "open",
  shape: "sweep",
  rank: "high",
  shards: 3,
  cpus: 2,
  accelerators: 0,
  ramGb: 2,
  bundle: "img-a",
  sizeGb: 0.5,
  flavors: null,
  area: null,
  together: false,
  spread: false,
  loaner: false,
  guessS: 10,
  saveEveryS: 0,
  saveTakesS: 0,
  dueS: null,
  ...fields,
});
