import { Random } from "./random.js";
import { S } from "./simulation.js";
import type { SiteSpec } from "./site-spec.js";
import type { Submission } from "./users.js";

/** A small site with short times for local trials: two zones, two types, spot and on-demand machines. */
export const sampleSite = (machines: number): SiteSpec => {
  const half = Math.max(1, Math.floor(machines / 4));
  const types = [
    { name: "large", cpus: 16, ramGb: 64, price: 0.8, spotPrice: 0.3, bootUs: 2 * S },
    { name: "small", cpus: 4, ramGb: 16, price: 0.25, spotPrice: 0.1, bootUs: 1.5 * S },
  ];
  const zones = ["east", "west"];
  return {
    name: "local",
    zones,
    controllers: ["east", "west", "east"],
    teams: [
      { name: "signatures", cpus: 16, cpusMax: 0, gpus: 0, gpusMax: 0 },
      { name: "search", cpus: 0, cpusMax: 32, gpus: 0, gpusMax: 0 },
      { name: "web", cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
    ],
    types: types.map((type) => ({ ...type, gpus: 0, cacheGb: 20, fetchGbPerS: 1, zones })),
    capacity: zones.flatMap((zone) =>
      [false, true].map((spot) => ({ type: spot ? "large" : "small", zone, spot, count: half })),
    ),
    objectives: [
      { kind: "wait", class: "pages", withinUs: S, share: 0.9 },
      { kind: "wait", class: "verify", withinUs: 10 * S, share: 0.9 },
    ],
    workers: { reportUs: S, leaseUs: 10 * S, cancelUs: 25 * S, gangWaitUs: 15 * S, gangPeerUs: 4 * S },
    state: { rps: 300, writeRps: 120, valueKb: 8, txnOps: 24 },
    cloud: { rps: 20, listLagUs: S },
    quota: { cpuShare: 1, memMb: 512, maxConnections: 1_000 },
  };
};

/** Sample jobs for `sampleSite`, with random sizes derived from the seed. */
export const sampleJobs = (seed: number): readonly Submission[] => {
  const random = new Random(seed);
  const plain: Submission = {
    ref: "",
    jobclass: "verify",
    owner: "signatures",
    shape: "sweep",
    rank: "high",
    shards: 1,
    cpus: 1,
    accelerators: 0,
    ramGb: 1,
    bundle: "verify-1",
    sizeGb: 0.4,
    flavors: null,
    area: null,
    together: false,
    spread: false,
    loaner: true,
    guessS: 4,
    saveEveryS: 0,
    saveTakesS: 0,
    dueS: null,
  };
  const verify = Array.from({ length: 6 }, (_, at) => ({
    ...plain,
    ref: `wk-verify-${at + 1}`,
    shards: random.int(4, 16),
    guessS: random.int(3, 9),
    dueS: 60,
  }));
  const reindex: Submission = {
    ...plain,
    ref: "wk-reindex-1",
    jobclass: "reindex",
    owner: "search",
    rank: "normal",
    shards: 24,
    cpus: 2,
    ramGb: 4,
    bundle: "reindex-1",
    sizeGb: 1,
    guessS: 8,
    saveEveryS: 2,
    saveTakesS: 1,
  };
  const pages: Submission = {
    ...plain,
    ref: "wk-pages-1",
    jobclass: "pages",
    owner: "web",
    shape: "daemon",
    rank: "prod",
    shards: 2,
    bundle: "pages-1",
    spread: true,
    loaner: false,
    guessS: 0,
  };
  const exported: Submission = {
    ...plain,
    ref: "wk-count-export-1",
    jobclass: "count-export",
    shape: "ensemble",
    rank: "normal",
    shards: 4,
    cpus: 4,
    ramGb: 8,
    bundle: "export-1",
    guessS: 6,
    dueS: 90,
  };
  return [pages, ...verify, reindex, exported];
};
