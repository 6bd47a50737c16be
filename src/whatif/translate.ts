import type { ClusterEvent } from "../cluster/events.js";
import { S, type SiteSpec, type Submission } from "../model/index.js";
import type { MachineType } from "../protocol/cloud.js";
import { encodeSubmission } from "../protocol/job-messages.js";
import type { Settings } from "../settings/settings.js";
import { TRACE_VERSION, type TraceEvent, type TraceHeader } from "./format.js";

/** A controller does not know how much there is to be had, only what was refused. */
const UNKNOWN_CAPACITY = 10_000;
const GANG_WAIT = 30 * S;
const GANG_PEER = 8 * S;

/** What a trace says for what a holder saw. `at` is when it saw it. */
export const traceEventOf = (event: ClusterEvent, at: number): TraceEvent => {
  switch (event.kind) {
    case "job seen":
      return { at, event: "submit", job: encodeSubmission(event.spec) as unknown as Submission };
    case "job cancelled":
      return { at, event: "abort", job: event.job };
    case "job follows":
      return { at, event: "follows", job: event.job, after: event.after, pauseUs: event.pause };
    case "task done":
      return { at, event: "task_end", job: event.job, index: event.index, ranUs: event.ran };
    case "refused": {
      const { type, zone, spot, span } = event;
      return { at, event: "boots_refused", type, zone, spot, forUs: Math.max(0, span) };
    }
    // Told when they are over; they began so long ago.
    case "state away":
      return { at: Math.max(0, at - event.span), event: "state_outage", forUs: event.span };
    case "cloud away":
      return { at: Math.max(0, at - event.span), event: "cloud_outage", forUs: event.span };
    default: {
      const { machine, type, zone, spot } = event;
      const on = { at, machine, type: type === "" ? "unknown" : type, zone: zone === "" ? "unknown" : zone, spot };
      switch (event.kind) {
        case "machine up":
          return { ...on, event: "machine_up" };
        case "machine deleted":
          return { ...on, event: "machine_down", why: "deleted" };
        case "machine failed":
          return { ...on, event: "machine_down", why: "failed" };
        case "machine faulty":
          return { ...on, event: "machine_faulty" };
        case "machine notice":
          return { ...on, event: "machine_notice", withinUs: event.span };
        case "machine silent":
          return { ...on, event: "machine_silent", forUs: event.span };
      }
    }
  }
};

/** The site as a controller's settings and the cloud's catalogue describe it. */
export const siteOf = (settings: Settings, types: Iterable<MachineType>): SiteSpec => {
  const known = [...types];
  const zones = [...new Set([...settings.zones, ...known.flatMap((type) => type.zones)])];
  const siblings = settings.peers.map(({ zone }) => zone);
  return {
    name: settings.label,
    zones,
    controllers: [settings.zone, ...siblings],
    teams: [...settings.teams.values()].map(({ name, guaranteed, limit }) => ({
      name,
      cpus: guaranteed.cpu / 1_000,
      cpusMax: (limit.cpu ?? 0) / 1_000,
      gpus: guaranteed.gpu / 1_000,
      gpusMax: (limit.gpu ?? 0) / 1_000,
    })),
    types: known.map((type) => ({
      name: type.name,
      cpus: type.capacity.cpu / 1_000,
      gpus: type.capacity.gpu / 1_000,
      ramGb: type.capacity.ram / 1_000,
      cacheGb: type.cacheGb,
      fetchGbPerS: type.fetchGbPerS,
      price: type.price,
      spotPrice: type.spotPrice,
      bootUs: Math.round(type.bootS * S),
      zones: type.zones,
    })),
    capacity: known.flatMap((type) =>
      type.zones.flatMap((zone) =>
        [false, true].map((spot) => ({ type: type.name, zone, spot, count: UNKNOWN_CAPACITY })),
      ),
    ),
    objectives: settings.objectives.map(({ kind, jobClass, within, share }) => ({
      kind,
      class: jobClass,
      withinUs: within,
      share,
    })),
    workers: {
      reportUs: settings.workers.heartbeatInterval,
      leaseUs: settings.workers.lease,
      cancelUs: settings.workers.cancellationBound,
      gangWaitUs: GANG_WAIT,
      gangPeerUs: GANG_PEER,
    },
    state: {
      rps: settings.store.requestsPerS,
      writeRps: settings.store.writesPerS,
      valueKb: settings.store.valueBytes / 1_024,
      txnOps: Math.max(4, settings.store.transactionWrites),
    },
    cloud: { rps: settings.cloud.requestsPerS, listLagUs: settings.cloud.listLag },
    quota: { cpuShare: 1, memMb: settings.quota.memoryMb, maxConnections: settings.quota.maxConnections },
  };
};

export const headerOf = (site: SiteSpec, source: TraceHeader["source"], began: string | null): TraceHeader => ({
  rainridgeTrace: TRACE_VERSION,
  source,
  clock: { unit: "us", began },
  site,
  standing: [],
});
