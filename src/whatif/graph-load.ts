import { build, type Histogram } from "hdr-histogram-js";
import { graphRequestBodies, sendRequest } from "../client.js";
import { downstreamOf, graphExtension, loadDescription, type Plan, parseStepJobId } from "../graphs/index.js";
import {
  type Behaviour,
  HostClock,
  jobBehaviour,
  LocalSite,
  type MachineObserver,
  noopObserver,
  S,
  Site,
  type SiteSpec,
  type Submission,
} from "../model/index.js";
import { encodeSubmission } from "../protocol/job-messages.js";
import { DEFAULT_GRAPHS, type GraphOptions } from "../settings/graph-options.js";
import { DEFAULT_OPTIONS } from "../settings/options.js";
import { decodeJobRecord } from "../storage/job-records.js";
import { jobKey } from "../storage/keys.js";
import type { Micros } from "../transport/clock.js";

export const GRAPH_SHAPES = ["wide", "chain", "layered", "mapped", "many"] as const;
export type GraphShape = (typeof GRAPH_SHAPES)[number];

export interface GraphLoadSpec {
  readonly shape: GraphShape;
  /** Steps of a graph. */
  readonly steps: number;
  readonly graphs: number;
  readonly machines: number;
  readonly writesPerS: number;
  readonly runUs: number;
  readonly untilUs: number;
  /** The graphs are submitted evenly over this time. */
  readonly overUs: number;
  /** All controllers end at this time; null: never. Simulated only. */
  readonly endAllAtUs: number | null;
  readonly seed: number;
  /** Real controllers on loopback sockets with a fast stand-in of the state service, or simulated ones. */
  readonly loopback: { readonly port: number; readonly program: string } | null;
}

export interface GraphLoadResult {
  readonly shape: GraphShape;
  readonly graphs: number;
  readonly steps: number;
  readonly ended: number;
  readonly started: number;
  /** From the end of the last upstream step on its machine to the start on another, in microseconds. */
  readonly latency: { readonly p50: number; readonly p99: number; readonly most: number };
  /** The first part of that: to the job's acceptance on record. */
  readonly accepted: { readonly p50: number; readonly p99: number };
  /** Writes of graphs' own records and of all kinds, a step. */
  readonly ownWrites: number;
  readonly allWrites: number;
  readonly lastedUs: number;
  /** From the end of all controllers until every run under way had been read again; null: none ended. */
  readonly recoveredUs: number | null;
}

const OWN = /^(c\/graph|c\/gsum|c\/upload|g|ge|gl)\//;

const job = (spec: GraphLoadSpec): Readonly<Record<string, unknown>> => ({
  jobclass: "batch",
  rank: "high",
  cpus: 1,
  ramGb: 1,
  bundle: "img-1",
  sizeGb: 0.1,
  guessS: spec.runUs / S,
});

/** Layers of this many steps, each waiting for three of the layer before. */
const LAYER = 100;

const tasksOf = ({ shape, steps }: GraphLoadSpec): readonly Readonly<Record<string, unknown>>[] => {
  const id = (at: number): string => `t${at}`;
  const numbers = Array.from({ length: steps }, (_, at) => at);
  switch (shape) {
    case "chain":
      return numbers.map((at) => ({ task_id: id(at), upstream: at === 0 ? [] : [id(at - 1)] }));
    case "wide":
      return numbers.map((at) => ({
        task_id: id(at),
        upstream: at === 0 ? [] : at < steps - 1 ? [id(0)] : numbers.slice(1, -1).map(id),
      }));
    case "mapped":
      return [
        { task_id: "first" },
        { task_id: "each", upstream: ["first"], expand: { n: numbers.slice(2) } },
        { task_id: "last", upstream: ["each"] },
      ];
    case "layered":
      return numbers.map((at) => {
        const [row, column] = [Math.floor(at / LAYER), at % LAYER];
        const above = [column, (column + 1) % LAYER, (column + 7) % LAYER].map((other) =>
          id((row - 1) * LAYER + other),
        );
        return { task_id: id(at), upstream: row === 0 ? [] : [...new Set(above)] };
      });
    case "many":
      return numbers.map((at) => ({
        task_id: id(at),
        upstream: at === 0 ? [] : at % 4 === 0 ? [id(at - 1), id(at - 2)] : [id(Math.max(0, at - 1 - (at % 2)))],
      }));
  }
};

/** A definition of the shape, as its planner would write it. */
export const graphFor = (spec: GraphLoadSpec): Readonly<Record<string, unknown>> => ({
  dag_id: spec.shape,
  owner: "work",
  default_args: { job: job(spec) },
  tasks: tasksOf(spec),
});

const siteOf = (spec: GraphLoadSpec): SiteSpec => {
  const zones = ["east", "west"];
  const type = { name: "m16", cpus: 16, gpus: 0, ramGb: 64, cacheGb: 40, fetchGbPerS: 10 };
  return {
    name: `graphs-${spec.shape}`,
    zones,
    controllers: ["east", "west", "east"],
    teams: [{ name: "work", cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }],
    types: [{ ...type, price: 1, spotPrice: 1, bootUs: S, zones }],
    capacity: zones.map((zone) => ({ type: "m16", zone, spot: false, count: Math.ceil(spec.machines / 2) })),
    objectives: [{ kind: "wait", class: "batch", withinUs: S, share: 0.9 }],
    workers: { reportUs: 3 * S, leaseUs: 20 * S, cancelUs: 45 * S, gangWaitUs: 30 * S, gangPeerUs: 8 * S },
    state: { rps: spec.loopback === null ? 150 : 5_000, writeRps: spec.writesPerS, valueKb: 8, txnOps: 24 },
    cloud: { rps: 10, listLagUs: S },
    quota: { cpuShare: 1, memMb: 512, maxConnections: 2_000 },
  };
};

/** What is seen of the runs from outside: when steps begin and end, and what is written. */
class Watch {
  readonly latency: Histogram = build({ highestTrackableValue: 3_600_000_000, numberOfSignificantValueDigits: 3 });
  readonly accepted: Histogram = build({ highestTrackableValue: 3_600_000_000, numberOfSignificantValueDigits: 3 });
  readonly ended = new Set<string>();
  private readonly readyAt = new Map<string, number>();
  private readonly left = new Map<string, Uint16Array>();
  private readonly below: readonly (readonly number[])[];
  private readonly begun = new Set<string>();
  ownWrites = 0;
  allWrites = 0;
  started = 0;
  recoveredUs: number | null = null;

  constructor(
    private readonly plan: Plan,
    private readonly now: () => number,
  ) {
    this.below = downstreamOf(plan);
  }

  private graphOf(task: string): { readonly graph: string; readonly step: number } | null {
    const ref = task.slice(0, task.lastIndexOf("/"));
    const parts = parseStepJobId(ref);
    return parts === null ? null : { graph: ref.split(".")[0] ?? "", step: parts.step };
  }

  readonly witness: MachineObserver = {
    ...noopObserver,
    taskOn: (task) => {
      const of = this.graphOf(task);
      if (of === null || this.begun.has(task)) return;
      this.begun.add(task);
      this.started += 1;
      const ready = this.readyAt.get(`${of.graph} ${of.step}`);
      if (ready !== undefined) this.latency.recordValue(Math.max(1, Math.round(this.now() - ready)));
    },
    taskDone: (task) => {
      const of = this.graphOf(task);
      if (of === null) return;
      const left = this.left.get(of.graph) ?? Uint16Array.from(this.plan.steps, ({ upstream }) => upstream.length);
      this.left.set(of.graph, left);
      for (const down of this.below[of.step] ?? []) {
        left[down] = (left[down] ?? 1) - 1;
        if (left[down] === 0) this.readyAt.set(`${of.graph} ${down}`, this.now());
      }
    },
  };

  written(keys: readonly string[], present: (key: string) => boolean): void {
    for (const key of keys) {
      this.allWrites += 1;
      if (OWN.test(key)) this.ownWrites += 1;
      if (key.startsWith("ge/")) this.ended.add(key.slice(3));
      if (!key.startsWith("c/job/wk-dr-") || !present(key)) continue;
      const of = this.graphOf(`${key.slice("c/job/".length)}/0`);
      const ready = of === null ? undefined : this.readyAt.get(`${of.graph} ${of.step}`);
      if (ready !== undefined) this.accepted.recordValue(Math.max(1, Math.round(this.now() - ready)));
    }
  }
}

type Ask = (server: number, body: string) => Promise<{ readonly status: number; readonly retryAfterS: number }>;

/** As users do: in parts where it is large, again where it is not taken. */
const submit = async (
  ask: Ask,
  pause: (us: number) => Promise<void>,
  text: string,
  ref: string,
  at: number,
): Promise<void> => {
  const bodies = graphRequestBodies(ref, text);
  for (const [part, body] of bodies.entries()) {
    for (;;) {
      const { status, retryAfterS } = await ask((at + part) % 3, body);
      if (status >= 200 && status < 300) break;
      if (status >= 400 && status < 500 && status !== 429) throw new Error(`${ref}: status ${status}`);
      await pause(Math.max(1, retryAfterS) * S);
    }
  }
};

export const LOAD_OPTIONS: GraphOptions = { ...DEFAULT_GRAPHS, mostOpen: 400 };

/** Plays graphs of a shape to their end, or to the given time. Repeatable where it is simulated. */
export const playGraphLoad = async (
  spec: GraphLoadSpec,
  progress: (now: number, ended: number) => void = () => undefined,
): Promise<GraphLoadResult> => {
  const graph = graphFor(spec);
  const ids = Array.from({ length: spec.graphs }, (_, at) => `dr-${at}`);
  const { compile, readDocument } = await loadDescription();
  const plan = compile(readDocument(graph), { id: "dr-0", ds: "2026-01-01", params: {} }, LOAD_OPTIONS);
  const textOf = (ref: string): string => JSON.stringify({ ref, ds: "2026-01-01", graph });
  const described = (value: unknown): Behaviour | null => {
    if (value === undefined) return null;
    return {
      ...jobBehaviour(encodeSubmission(decodeJobRecord(value).spec) as unknown as Submission),
      runUs: spec.runUs,
    };
  };
  const watch = await (spec.loopback === null
    ? simulated(spec, plan, ids, textOf, described, progress)
    : onLoopback(spec, spec.loopback, plan, ids, textOf, progress));
  const steps = spec.graphs * plan.steps.length;
  return {
    shape: spec.shape,
    graphs: spec.graphs,
    steps: plan.steps.length,
    ended: watch.ended.size,
    started: watch.started,
    latency: {
      p50: watch.latency.getValueAtPercentile(50),
      p99: watch.latency.getValueAtPercentile(99),
      most: watch.latency.maxValue,
    },
    accepted: { p50: watch.accepted.getValueAtPercentile(50), p99: watch.accepted.getValueAtPercentile(99) },
    ownWrites: watch.ownWrites / steps,
    allWrites: watch.allWrites / steps,
    lastedUs: watch.lastedUs,
    recoveredUs: watch.recoveredUs,
  };
};

type Played = Watch & { readonly lastedUs: number };

/** Graphs are asked for by the load itself; its emulated users say nothing. */
const quiet = {
  submitted: () => undefined,
  polled: () => undefined,
  cancelAsked: () => undefined,
  cancelAnswered: () => undefined,
  dropped: () => undefined,
};

const simulated = async (
  spec: GraphLoadSpec,
  plan: Plan,
  ids: readonly string[],
  textOf: (ref: string) => string,
  described: (value: unknown) => Behaviour | null,
  progress: (now: number, ended: number) => void,
): Promise<Played> => {
  const books: Watch[] = [];
  const site = new Site({
    spec: siteOf(spec),
    options: { ...DEFAULT_OPTIONS, graphs: LOAD_OPTIONS },
    seed: spec.seed,
    extension: graphExtension(LOAD_OPTIONS),
    watch: (world) => {
      const watch = new Watch(plan, () => world.now);
      books.push(watch);
      const log = (_level: string, _node: number, event: string): void => {
        if (event === "runs read" && spec.endAllAtUs !== null) watch.recoveredUs = world.now - spec.endAllAtUs;
      };
      return { witness: watch.witness, hearing: quiet, log };
    },
  });
  const [watch] = books;
  if (watch === undefined) throw new Error("no watch");
  site.truth.lookUp = (ref) => described(site.state.value(jobKey(ref)));
  site.state.onApplied = (keys) => watch.written(keys, (key) => site.state.value(key) !== undefined);
  const ask: Ask = async (server, body) => {
    const client = site.network.client("user", new HostClock(site.world, 1, 0));
    const request = { method: "POST", target: "/v2/graphs", body };
    const outcome = await client.call(site.nodeAddress(server), request, (5 * S) as Micros);
    if (outcome.kind !== "answer") return { status: 503, retryAfterS: 1 };
    return { status: outcome.status, retryAfterS: outcome.retryAfterS ?? 1 };
  };
  const pause = (us: number): Promise<void> => new Promise((resolve) => site.world.after(us, resolve));
  const faults: unknown[] = [];
  if (spec.endAllAtUs !== null) {
    site.world.at(spec.endAllAtUs, () => {
      for (const at of [0, 1, 2]) site.crash(at);
    });
  }
  for (const [at, id] of ids.entries()) {
    site.world.at(3 * S + (spec.overUs * at) / ids.length, () => {
      submit(ask, pause, textOf(id), id, at).catch((error: unknown) => faults.push(error));
    });
  }
  for (let now = S; now <= spec.untilUs && watch.ended.size < ids.length; now += S) {
    await site.world.run(now, () => undefined);
    if (faults.length > 0) throw faults[0];
    progress(now, watch.ended.size);
  }
  return Object.assign(watch, { lastedUs: site.world.now - 3 * S });
};

const onLoopback = async (
  spec: GraphLoadSpec,
  { port, program }: NonNullable<GraphLoadSpec["loopback"]>,
  plan: Plan,
  ids: readonly string[],
  textOf: (ref: string) => string,
  progress: (now: number, ended: number) => void,
): Promise<Played> => {
  const books: Watch[] = [];
  const site = await LocalSite.start({
    spec: siteOf(spec),
    options: { ...DEFAULT_OPTIONS, graphs: LOAD_OPTIONS },
    seed: spec.seed,
    port,
    speed: 1,
    evenBoots: true,
    program,
    onError: (what) => process.stderr.write(`rainridge: ${what}\n`),
    watch: (timeline) => {
      const watch = new Watch(plan, () => timeline.now);
      books.push(watch);
      return { witness: watch.witness, hearing: quiet };
    },
  });
  try {
    const [watch] = books;
    if (watch === undefined) throw new Error("no watch");
    site.state.onApplied = (keys) => watch.written(keys, (key) => site.state.value(key) !== undefined);
    const ask: Ask = async (server, body) => {
      const reply = await sendRequest(site.addresses.controllers[server] ?? "", {
        method: "POST",
        target: "/v2/graphs",
        body,
      });
      return { status: reply.status, retryAfterS: reply.retryAfterS ?? 1 };
    };
    const pause = (us: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, us / 1_000));
    const begun = site.timeline.now;
    const sent = ids.map(async (id, at) => {
      await pause((spec.overUs * at) / ids.length);
      await submit(ask, pause, textOf(id), id, at);
    });
    await Promise.all(sent);
    while (watch.ended.size < ids.length && site.timeline.now - begun < spec.untilUs) {
      await pause(S / 10);
      progress(site.timeline.now - begun, watch.ended.size);
    }
    return Object.assign(watch, { lastedUs: site.timeline.now - begun });
  } finally {
    await site.stop();
  }
};
