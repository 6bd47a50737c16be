import {
  type Bounds,
  type MachineObserver,
  MEASURED,
  noopObserver,
  S,
  Site,
  type SiteSpec,
  type Submission,
  type Usage,
  type UserObserver,
} from "../model/index.js";
import { allocateConnections } from "../settings/connections.js";
import { DEFAULT_OPTIONS } from "../settings/options.js";

/** What bounds a controller. */
export interface ControllerSize {
  readonly cpuShare: number;
  readonly memoryMb: number;
  readonly connections: number;
}

export interface LoadSpec {
  readonly machines: number;
  readonly controller: ControllerSize;
  /** Whether controllers take turns with connections and shed load, or are as they were before. */
  readonly bounded: boolean;
  readonly reportUs: number;
  readonly leaseUs: number;
  readonly writesPerS: number;
  /** All controllers end at this time of the run; null: never. */
  readonly endAllAtUs: number | null;
  readonly untilUs: number;
  readonly seed: number;
}

export type Limit = "processor" | "sockets" | "memory" | "state writes" | "cloud calls" | "none";

export interface LoadResult {
  readonly machines: number;
  readonly bounded: boolean;
  /** Most machines that were up at once, and most tasks. */
  readonly up: number;
  readonly running: number;
  readonly starts: number;
  /** Tasks that ended because their worker's lease did. */
  readonly killedByLease: number;
  readonly ended: number;
  /** Of the busiest controller: share of its processor, most connections as a share, refused connections. */
  readonly processor: number;
  readonly sockets: number;
  readonly refused: number;
  readonly submissions: number;
  readonly turnedAway: number;
  readonly firstLimit: Limit;
  /** When that was reached, in microseconds; null where none was. */
  readonly reachedAt: number | null;
}

const CPUS = 16;
const TASK_CPUS = 4;
const SHARDS = 64;
const RUN_S = 45;
const FILLED = 0.8;
const BOOT = 5 * S;
const LOOK = S / 2;
const MEGABYTE = 1_048_576;
const PAGES = { shards: 8, share: 0.1 };

const siteOf = (spec: LoadSpec): SiteSpec => {
  const zones = ["east", "west"];
  return {
    name: `load-${spec.machines}`,
    zones,
    controllers: ["east", "west", "east"],
    teams: [{ name: "work", cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }],
    types: [
      {
        name: "m16",
        cpus: CPUS,
        gpus: 0,
        ramGb: 64,
        cacheGb: 40,
        fetchGbPerS: 1,
        price: 1,
        spotPrice: 1,
        bootUs: BOOT,
        zones,
      },
    ],
    capacity: zones.map((zone) => ({ type: "m16", zone, spot: false, count: Math.ceil(spec.machines / 2) })),
    objectives: [{ kind: "wait", class: "batch", withinUs: 2 * S, share: 0.9 }],
    workers: {
      reportUs: spec.reportUs,
      leaseUs: spec.leaseUs,
      cancelUs: spec.leaseUs + 30 * S,
      gangWaitUs: 30 * S,
      gangPeerUs: 8 * S,
    },
    state: { rps: 150, writeRps: spec.writesPerS, valueKb: 8, txnOps: 24 },
    cloud: { rps: 10, listLagUs: 4 * S },
    quota: {
      cpuShare: spec.controller.cpuShare,
      memMb: spec.controller.memoryMb,
      maxConnections: spec.controller.connections,
    },
  };
};

const boundsOf = ({ controller, bounded }: LoadSpec): Bounds => {
  const { incoming, keepAlive: kept } = allocateConnections(controller.connections);
  return {
    cpuShare: controller.cpuShare,
    maxConnections: incoming,
    keepConnections: bounded ? kept : incoming,
    memoryBytes: controller.memoryMb * MEGABYTE,
    sheds: bounded,
    costs: MEASURED,
  };
};

const plain: Submission = {
  ref: "",
  jobclass: "batch",
  owner: "work",
  shape: "sweep",
  rank: "high",
  shards: SHARDS,
  cpus: TASK_CPUS,
  accelerators: 0,
  ramGb: 4,
  bundle: "img-1",
  sizeGb: 0.2,
  flavors: null,
  area: null,
  together: false,
  spread: false,
  loaner: false,
  guessS: RUN_S,
  saveEveryS: 0,
  saveTakesS: 0,
  dueS: null,
};

/** Arrays that keep the machines filled to four fifths, the first of them spread over a while, and services. */
const submitAll = (site: Site, spec: LoadSpec): void => {
  const slots = (spec.machines * CPUS) / TASK_CPUS;
  const first = Math.round((slots * FILLED) / SHARDS);
  const perUs = first / (RUN_S * S);
  const submitArray = (number: number): void => site.submit({ ...plain, ref: `wk-${number}` });
  for (let number = 0; number < first; number += 1)
    site.world.at(2 * S + (number / perUs) * 0.6, () => submitArray(number));
  // One after the other: what a long run submits in all would not fit into memory.
  const submitFrom = (at: number, number: number): void => {
    if (at >= spec.untilUs) return;
    site.world.at(at, () => {
      submitFrom(at + 1 / perUs, number + 1);
      submitArray(number);
    });
  };
  submitFrom(30 * S, first);
  const pages = Math.ceil((spec.machines * PAGES.share) / PAGES.shards);
  for (let at = 0; at < pages; at += 1) {
    const page = {
      ...plain,
      jobclass: "pages",
      shape: "daemon",
      rank: "prod",
      shards: PAGES.shards,
      cpus: 1,
      guessS: 0,
    };
    site.world.at(2 * S + at * (S / 10), () => site.submit({ ...page, ref: `wk-p${at}` } as Submission));
  }
};

class Counts {
  up = 0;
  running = 0;
  mostUp = 0;
  mostRunning = 0;
  starts = 0;
  killed = 0;
  ended = 0;
  submissions = 0;
  turnedAway = 0;

  readonly witness: MachineObserver = {
    ...noopObserver,
    taskOn: () => {
      this.starts += 1;
      this.running += 1;
      this.mostRunning = Math.max(this.mostRunning, this.running);
    },
    taskOff: () => {
      this.running -= 1;
    },
    machineUp: () => {
      this.up += 1;
      this.mostUp = Math.max(this.mostUp, this.up);
    },
    machineGone: () => {
      this.up -= 1;
    },
    leaseExpired: (_, tasks) => {
      this.killed += tasks;
    },
  };

  readonly hearing: UserObserver = {
    submitted: (_, status) => {
      this.submissions += 1;
      if (status === 503) this.turnedAway += 1;
    },
    polled: () => undefined,
    cancelAsked: () => undefined,
    cancelAnswered: () => undefined,
    dropped: () => undefined,
  };
}

const WINDOW = 10;
const NEARLY = 0.95;

/** Tells when a rate has come to its limit, by the mean over five seconds. */
class Meter {
  private readonly readings: number[] = [0];
  reachedAt: number | null = null;

  constructor(private readonly perS: number) {}

  read(now: number, total: number): void {
    this.readings.push(total);
    if (this.readings.length <= WINDOW) return;
    const spent = total - (this.readings.shift() ?? 0);
    if (spent >= (NEARLY * this.perS * WINDOW * LOOK) / S) this.reachedAt ??= now;
  }
}

const earliest = (
  usage: readonly Usage[],
  others: readonly (readonly [Limit, number | null])[],
): { readonly firstLimit: Limit; readonly reachedAt: number | null } => {
  let first: { firstLimit: Limit; reachedAt: number | null } = { firstLimit: "none", reachedAt: null };
  const consider = (limit: Limit, at: number | null): void => {
    if (at !== null && (first.reachedAt === null || at < first.reachedAt)) first = { firstLimit: limit, reachedAt: at };
  };
  for (const { reachedAt } of usage) {
    consider("processor", reachedAt.processor);
    consider("sockets", reachedAt.sockets);
    consider("memory", reachedAt.memory);
  }
  for (const [limit, at] of others) consider(limit, at);
  return first;
};

/**
 * A fleet under steady load and controllers of a given size, then the end of all of them at once. Repeatable: the same
 * specification gives the same result.
 */
export const playLoad = async (
  spec: LoadSpec,
  progress: (now: number) => void = () => undefined,
): Promise<LoadResult> => {
  const counts = new Counts();
  const site = new Site({
    spec: siteOf(spec),
    options: DEFAULT_OPTIONS,
    seed: spec.seed,
    bounds: boundsOf(spec),
    watch: () => ({ witness: counts.witness, hearing: counts.hearing, log: () => undefined }),
  });
  submitAll(site, spec);
  const { endAllAtUs } = spec;
  if (endAllAtUs !== null) {
    site.world.at(endAllAtUs, () => {
      for (let at = 0; at < 3; at += 1) site.crash(at);
    });
  }
  const { state, cloud } = site.setup.spec;
  const writes = new Meter(state.writeRps);
  const calls = new Meter(cloud.rps);
  for (let now = LOOK; now <= spec.untilUs; now += LOOK) {
    await site.world.run(now, () => undefined);
    counts.ended += site.endOversized();
    writes.read(now, site.state.requestedWrites);
    calls.read(now, site.cloud.calls);
    progress(now);
  }
  const usage = site.usage();
  return {
    machines: spec.machines,
    bounded: spec.bounded,
    up: counts.mostUp,
    running: counts.mostRunning,
    starts: counts.starts,
    killedByLease: counts.killed,
    ended: counts.ended,
    processor: Math.max(...usage.map(({ cpuUs }) => cpuUs / spec.untilUs / spec.controller.cpuShare)),
    sockets: Math.max(...usage.map(({ mostConnections }) => mostConnections)) / spec.controller.connections,
    refused: usage.reduce((sum, { refused: count }) => sum + count, 0),
    submissions: counts.submissions,
    turnedAway: counts.turnedAway,
    ...earliest(usage, [
      ["state writes", writes.reachedAt],
      ["cloud calls", calls.reachedAt],
    ]),
  };
};
