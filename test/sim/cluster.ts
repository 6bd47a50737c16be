/** The simulated cluster of the tests: an emulated site, real controllers and the checker of the protocol's rules. */
import type { ClusterEvent } from "../../src/cluster/events.js";
import { LogEvent, type LogEventText } from "../../src/coordination/log-events.js";
import { graphExtension } from "../../src/graphs/index.js";
import {
  type Behaviour,
  type Bounds,
  HostClock,
  jobBehaviour,
  jobOf,
  type MachineObserver,
  MEASURED,
  noopObserver,
  ProbingUsers,
  Random,
  S,
  Site,
  type SiteSpec,
  type Submission,
  type TypeSpec,
} from "../../src/model/index.js";
import { encodeSubmission } from "../../src/protocol/job-messages.js";
import { cancellationTerms } from "../../src/settings/cancellation.js";
import { DEFAULT_OPTIONS, type OperatorOptions } from "../../src/settings/options.js";
import { parseSettings } from "../../src/settings/parse-settings.js";
import { shardLeaseDuration } from "../../src/settings/shard-lease.js";
import { decodeJobRecord } from "../../src/storage/job-records.js";
import { jobKey } from "../../src/storage/keys.js";
import type { Micros } from "../../src/transport/clock.js";
import { settingsText } from "../fixtures.js";
import { Checker, RuleViolation, type TrueJob } from "./checker.js";
import { heartbeatResponseBody, startsAmong } from "./heartbeat-responses.js";

export type { Submission } from "../../src/model/index.js";

const typeSpec = (
  name: string,
  cpus: number,
  ramGb: number,
  bootS: number,
  price: number,
  spotPrice: number,
): TypeSpec => ({
  name,
  cpus,
  gpus: 0,
  ramGb,
  cacheGb: 20,
  fetchGbPerS: 1,
  price,
  spotPrice,
  bootUs: bootS * S,
  zones: ["east", "west"],
});

const TYPES: readonly TypeSpec[] = [typeSpec("big", 16, 64, 12, 0.8, 0.3), typeSpec("small", 4, 32, 8, 0.25, 0.1)];

/** The emulated site that the settings describe. */
const siteSpecFrom = (text: string): SiteSpec => {
  const settings = parseSettings(text);
  return {
    name: "test",
    zones: settings.zones,
    controllers: ["east", "east", "east"],
    teams: [],
    types: TYPES,
    capacity: [],
    objectives: [],
    workers: {
      reportUs: settings.workers.heartbeatInterval,
      leaseUs: settings.workers.lease,
      cancelUs: settings.workers.cancellationBound,
      gangWaitUs: 30 * S,
      gangPeerUs: 8 * S,
    },
    state: {
      rps: settings.store.requestsPerS,
      writeRps: settings.store.writesPerS,
      valueKb: settings.store.valueBytes / 1_024,
      txnOps: settings.store.transactionWrites,
    },
    cloud: { rps: settings.cloud.requestsPerS, listLagUs: settings.cloud.listLag },
    quota: { cpuShare: 0.4, memMb: 256, maxConnections: 500 },
  };
};

/** Settings of the fixtures with the emulator's addresses of the cloud and the key-value store. */
export const settingsAt = (index: number, alter: (text: string) => string): string =>
  alter(settingsText(index)).replace("10.2.0.2:8443", "10.0.1.2:8443").replace("10.2.0.1:2379", "10.0.1.1:2379");

/** The fields of a submission that the checker needs. */
export const trueJob = (job: Submission): TrueJob => ({
  id: job.ref,
  team: job.owner,
  service: job.shape === "daemon",
  tasks: job.shards,
  cpus: job.cpus,
  types: job.flavors,
  zone: job.area,
  together: job.together,
  spread: job.spread,
  spot: job.loaner,
  jobClass: job.jobclass,
  gang: job.shape === "ensemble",
  ...(job.awaits === undefined ? {} : { awaits: job.awaits }),
});

/** Bound for image fetches, in microseconds: several of up to 3 GB at once, each at 1 GB/s, give or take a third. */
const MAX_FETCH_US = 25 * S;

/** Controllers with too few connections and so little CPU that a burst of requests delays them by seconds. */
export const UNDERSIZED_CONTROLLERS: Bounds = {
  cpuShare: 0.02,
  maxConnections: 30,
  keepConnections: 12,
  memoryBytes: 1e9,
  sheds: true,
  costs: MEASURED,
};

/** An emulated site whose events the checker observes, with operations by which tests inject faults and inspect it. */
export class Cluster {
  readonly site: Site;
  readonly random: Random;
  readonly checker: Checker;
  readonly errors: string[] = [];
  readonly curious: ProbingUsers;
  /** Called with the index of a controller when it has acquired the shard. */
  onShardAcquired: (controller: number) => void = () => undefined;
  /** Number of times that a controller acquired the shard. */
  takeovers = 0;
  /** Cancellations requested at the moment when the last task of the job completed. */
  cancelledOnCompletion = 0;
  private completionCancellation = { share: 0, until: 0 };
  readonly log: string[] = [];
  /** Events that controllers emit for recording; only on sites with graphs. */
  readonly recordedEvents: { readonly at: number; readonly event: ClusterEvent }[] = [];
  /** Every start of a task, in order of time; `at` in microseconds. */
  readonly taskStarts: { readonly task: string; readonly at: number }[] = [];
  /** Most machines of each purchase model in one zone, over all types. */
  readonly machineCapacity = { spot: 6, ordinary: 8 };

  constructor(
    seed: number,
    options: Partial<OperatorOptions> = {},
    alter: (text: string) => string = (text) => text,
    bounds?: Bounds,
    maxTasks = Number.POSITIVE_INFINITY,
  ) {
    this.random = new Random(seed);
    const limits = new Map<string, number>();
    // From the unaltered settings: a test may give the controllers a wrong limit that the checker must report.
    for (const team of parseSettings(settingsText(0)).teams.values())
      if (team.limit.cpu !== null) limits.set(team.name, team.limit.cpu / 1_000);
    // Announced limits are not in force yet; a test puts them into force itself.
    const spec = siteSpecFrom(alter(settingsText(0)).replace(/\[deployment\.state\.next\][^[]*/, ""));
    const settings = parseSettings(alter(settingsText(0)));
    let checker: Checker | null = null;
    this.site = new Site({
      spec,
      options: { ...DEFAULT_OPTIONS, ...options },
      seed,
      settings: (index) => parseSettings(settingsAt(index, alter)),
      quirks: { repeats: 0.2, lingers: 0.5 },
      ...(options.graphs ? { extension: graphExtension(options.graphs) } : {}),
      stateLog: 300,
      maxTasks,
      ...(bounds === undefined ? {} : { bounds }),
      room: (_type, zone, spot, cloud) => {
        const present = TYPES.reduce((sum, { name }) => sum + cloud.count(name, zone, spot), 0);
        return (spot ? this.machineCapacity.spot : this.machineCapacity.ordinary) - present;
      },
      watch: (world) => {
        // A start may follow a confirmed cancellation by a shard lease and the command time, and then fetches an image.
        const { shardLease, startCommand } = cancellationTerms(settings.workers, shardLeaseDuration(settings));
        checker = new Checker(() => world.now, limits, spec.workers.cancelUs, shardLease + startCommand + MAX_FETCH_US);
        const { hearing } = checker;
        const witness: MachineObserver = {
          ...noopObserver,
          taskOn: (task, machine) => {
            this.taskStarts.push({ task, at: world.now });
            checker?.taskOn(task, machine);
          },
          taskOff: (task, machine) => checker?.taskOff(task, machine),
          taskDone: (task) => {
            checker?.taskDone(task);
            this.maybeCancelOnCompletion(task);
          },
        };
        return {
          witness,
          hearing,
          ...(options.graphs
            ? { sink: (event: ClusterEvent) => this.recordedEvents.push({ at: world.now, event }) }
            : {}),
          log: (level, at, event, fields) => {
            const text = JSON.stringify(fields, (_, value: unknown) =>
              typeof value === "bigint" ? String(value) : value,
            );
            if (event === LogEvent.ShardAcquired) {
              this.takeovers += 1;
              this.onShardAcquired(at);
            }
            this.log.push(`${(world.now / S).toFixed(3)} ctl-${at} ${event} ${text}`);
            // The emulated services never send malformed responses, so any logged error is a defect.
            if (level === "error") this.errors.push(this.log.at(-1) ?? event);
          },
        };
      },
    });
    if (checker === null) throw new Error("the site has not called watch: no checker");
    this.checker = checker;
    this.checker.hasRoom = (job) => this.hasRoom(job);
    this.curious = new ProbingUsers(this.users, this.world, new Random(seed + 77), this.site.addresses.controllers);
    // Emulated workers derive the behaviour of a graph step's job from its stored job record.
    this.site.truth.lookUp = (id) => this.behaviourFromRecord(id);
  }

  /** Overrides for the behaviour of the tasks of a graph step's job. */
  stepBehaviour: (job: string) => Partial<Behaviour> = () => ({});

  private behaviourFromRecord(id: string): Behaviour | null {
    const value = this.state.value(jobKey(id));
    if (value === undefined) return null;
    const { spec } = decodeJobRecord(value);
    const job = encodeSubmission(spec) as unknown as Submission;
    this.checker.jobs.set(id, trueJob(job));
    return { ...jobBehaviour(job), runUs: 3 * S, ...this.stepBehaviour(id) };
  }

  get world(): Site["world"] {
    return this.site.world;
  }

  get cloud(): Site["cloud"] {
    return this.site.cloud;
  }

  get state(): Site["state"] {
    return this.site.state;
  }

  get network(): Site["network"] {
    return this.site.network;
  }

  get users(): Site["users"] {
    return this.site.users;
  }

  crash(at: number, backAfterUs?: number): void {
    this.site.crash(at, backAfterUs);
  }

  /** For a while, cancels this share of the completing jobs at the moment when their last task completes. */
  cancelOnCompletion(share: number, forUs: number): void {
    this.completionCancellation = { share, until: this.world.now + forUs };
  }

  private maybeCancelOnCompletion(task: string): void {
    const id = jobOf(task);
    const { share, until } = this.completionCancellation;
    if (this.world.now > until || this.checker.finished.get(id)?.size !== this.checker.jobs.get(id)?.tasks) return;
    if (!this.random.chance(share)) return;
    this.cancelledOnCompletion += 1;
    this.users.cancel(id);
  }

  private hasRoom(job: TrueJob): boolean {
    return this.cloud.running().some(({ info, worker }) => {
      const kind = TYPES.find(({ name }) => name === info.type);
      if (worker === null || kind === undefined || (info.spot && !job.spot)) return false;
      if (job.types !== null && !job.types.includes(info.type)) return false;
      if (job.zone !== null && job.zone !== info.zone) return false;
      return this.checker.cpusOn(info.name) + job.cpus <= kind.cpus;
    });
  }

  /** Index of the controller that acquired the shard last. */
  shardLeader(): number {
    const taken = this.log.filter((line) => line.includes(` ${LogEvent.ShardAcquired} `));
    return Number(/ctl-(\d)/.exec(taken.at(-1) ?? "")?.[1] ?? 0);
  }

  async run(forUs: number): Promise<void> {
    try {
      await this.world.run(this.world.now + forUs, () => this.checker.tick());
    } catch (error) {
      if (!(error instanceof RuleViolation)) throw error;
      const tail = this.log.slice(-40).join("\n");
      throw new Error(`${error.message}\nat ${this.world.now / S} s, seed ${this.random.seed}\n${tail}`, {
        cause: error,
      });
    }
  }

  /** Stored records and log lines of a job, for the message of a failed assertion. */
  describeJob(id: string): string {
    const records = [`c/job/${id}`, `c/range/${id}/0`, `e/${id}`].map(
      (key) => `${key}: ${JSON.stringify(this.state.value(key))}`,
    );
    const lines = this.log.filter((line) => line.includes(id)).slice(-30);
    return [...records, ...lines, "...", ...this.log.slice(-15)].join("\n");
  }

  logged(event: LogEventText): boolean {
    return this.log.some((line) => line.includes(` ${event} `));
  }

  submit(job: Submission, behaviour: Partial<Behaviour> = {}): void {
    this.checker.jobs.set(job.ref, trueJob(job));
    this.site.submit(job, { runUs: job.shape === "daemon" ? null : 15 * S, ...behaviour });
  }

  /** Copies chosen starts in heartbeat responses to every other machine. */
  duplicateStarts(choose: (task: string) => boolean): void {
    this.network.tamper = (from, to, request, response) => {
      const body = heartbeatResponseBody(request, response);
      if (body === null) return response;
      const orders = startsAmong(body.orders).filter(({ shard }) => choose(shard));
      if (orders.length > 0) this.sendToOthers(to, from, JSON.stringify({ baton: body.baton, tenure: 1, orders }));
      return response;
    };
  }

  private sendToOthers(controller: string, machine: string, body: string): void {
    const client = this.network.client(controller, new HostClock(this.world, 1, 0));
    for (const { worker } of this.cloud.running()) {
      if (worker === null || worker.host.address === machine) continue;
      void client.call(worker.host.address, { method: "POST", target: "/orders", body }, S as Micros);
    }
  }

  /** Tasks of accepted services that are on no machine. */
  missingReplicas(): string[] {
    return this.checker.accepted().flatMap((id) => {
      const job = this.checker.jobs.get(id);
      if (job === undefined || !job.service || this.checker.terminalPhaseOf(id) !== null) return [];
      return Array.from({ length: job.tasks }, (_, at) => `${id}/${at}`).filter(
        (task) => !this.checker.isRunning(task),
      );
    });
  }

  unfinished(): string[] {
    return this.checker.accepted().filter((id) => {
      const job = this.checker.jobs.get(id);
      return job !== undefined && !job.service && this.checker.terminalPhaseOf(id) === null;
    });
  }
}
/** A cluster with capacity for one on-demand machine in each zone, all of which boot. */
export const clusterWithOneMachineAZone = (seed: number): Cluster => {
  const cluster = new Cluster(seed);
  cluster.machineCapacity.ordinary = 1;
  cluster.machineCapacity.spot = 0;
  cluster.cloud.boots = { ...cluster.cloud.boots, never: 0 };
  return cluster;
};

/** A job with random fields in realistic ranges. */
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
    // A job spread over zones cannot run within one zone.
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

/** A batch job of three tasks, with the given fields replaced. */
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
