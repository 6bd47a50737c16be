import { S, type SiteSpec, type Submission } from "../src/model/index.js";
import { DEFAULT_OPTIONS } from "../src/settings/options.js";
import { formatTrace, headerOf, type ReplayRequest, type TraceEvent } from "../src/whatif/index.js";
import { plainJob } from "./sim/cluster.js";

/** A small site with short times. */
export const smallSite = (change: Partial<SiteSpec> = {}): SiteSpec => {
  const zones = ["east", "west"];
  const type = (name: string, cpus: number, price: number) => ({
    name,
    cpus,
    gpus: 0,
    ramGb: 4 * cpus,
    cacheGb: 20,
    fetchGbPerS: 1,
    price,
    spotPrice: price / 3,
    bootUs: 4 * S,
    zones,
  });
  const types = [type("big", 16, 0.8), type("small", 4, 0.25)];
  return {
    name: "small",
    zones,
    controllers: ["east", "west", "east"],
    teams: [
      { name: "open", cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
      { name: "capped", cpus: 8, cpusMax: 16, gpus: 0, gpusMax: 0 },
    ],
    types,
    capacity: types.flatMap(({ name }) =>
      zones.flatMap((zone) => [false, true].map((spot) => ({ type: name, zone, spot, count: 3 }))),
    ),
    objectives: [{ kind: "wait", class: "batch", withinUs: 20 * S, share: 0.9 }],
    workers: { reportUs: 2 * S, leaseUs: 16 * S, cancelUs: 40 * S, gangWaitUs: 20 * S, gangPeerUs: 5 * S },
    state: { rps: 150, writeRps: 60, valueKb: 8, txnOps: 24 },
    cloud: { rps: 10, listLagUs: 2 * S },
    quota: { cpuShare: 0.4, memMb: 256, maxConnections: 500 },
    ...change,
  };
};

export const submitted = (
  at: number,
  ref: string,
  fields: Partial<Submission> = {},
  runS = 10,
  rest: object = {},
): TraceEvent => ({ at: at * S, event: "submit", job: plainJob(ref, fields), runUs: runS * S, ...rest });

/** A couple of minutes with jobs of every shape. */
export const smallDay = (): TraceEvent[] => [
  submitted(1, "wk-web", { shape: "daemon", rank: "prod", jobclass: "web", spread: true, shards: 4, cpus: 1 }, 0, {
    runUs: null,
  }),
  submitted(1, "wk-a", { shards: 6 }, 12),
  submitted(2, "wk-b", { shards: 8, owner: "capped", loaner: true, dueS: 90 }, 15),
  submitted(5, "wk-gang", { shape: "ensemble", shards: 4, cpus: 4 }, 20),
  submitted(14, "wk-c", { shards: 12, loaner: true, rank: "normal", saveEveryS: 2, saveTakesS: 1 }, 18),
  submitted(20, "wk-d", { shards: 5, rank: "best_effort", loaner: true }, 25),
  submitted(31, "wk-e", { shards: 3, together: true }, 9),
  { at: 40 * S, event: "abort", job: "wk-d" },
  { at: 95 * S, event: "abort", job: "wk-web" },
];

export const requestFor = (
  events: readonly TraceEvent[],
  site: SiteSpec = smallSite(),
  change: Partial<ReplayRequest> = {},
): ReplayRequest => ({
  name: "test",
  header: headerOf(site, "synth", null),
  events,
  remarks: [],
  site,
  options: DEFAULT_OPTIONS,
  seed: 1,
  untilUs: null,
  ...change,
});

export const traceText = (events: readonly TraceEvent[], site: SiteSpec = smallSite()): string =>
  formatTrace(headerOf(site, "synth", null), events);
