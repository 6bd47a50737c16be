import type { WorkerCounters } from "../../cluster/machine.js";
import type { Uint64 } from "../../protocol/json.js";
import type { Micros } from "../../transport/clock.js";

/** What is known of a worker by its own counters, as far as the freshness of a heartbeat depends on it. */
export type KnownCounters = Readonly<
  Pick<WorkerCounters, "incarnation" | "sequence" | "highestToken" | "expiredIncarnation" | "learnedAt" | "verified">
>;

export interface HeartbeatCounters {
  readonly incarnation: Uint64;
  readonly sequence: Uint64;
  readonly token: Uint64;
}

/** A report may be a late copy; an answer to a question of our own was written after the question left. */
export type HeartbeatSource =
  | { readonly kind: "heartbeat" }
  | { readonly kind: "status-reply"; readonly askedAt: Micros };

/**
 * What may follow from a worker's message (docs/heartbeat-evidence.md):
 * `stale`: nothing. `suspect`: nothing, but a worker whose counters have begun anew looks the same, so it is worth a
 * question. `unverified`: nothing but whom to ask, since it may be from before our time. `counters-reset`: the counters have begun
 * anew; commands of before may still arrive. `verified`: written in our time, so alive and in this session; commands under
 * older tokens may still arrive, so that what is missing in its list is not gone. `new-incarnation`: verified, and its earlier session
 * is over with all tasks and commands of it. `fenced`: verified, and only commands under our own tokens can still arrive.
 */
export type HeartbeatFreshness =
  | "stale"
  | "suspect"
  | "unverified"
  | "counters-reset"
  | "verified"
  | "new-incarnation"
  | "fenced";

/** Sessions first, then ticks: negative where `said` was written before what is known. */
const compareCounters = (known: KnownCounters, heartbeat: HeartbeatCounters): number => {
  if (known.incarnation === null) return 1;
  if (heartbeat.incarnation !== known.incarnation) return heartbeat.incarnation < known.incarnation ? -1 : 1;
  if (heartbeat.sequence === known.sequence) return 0;
  return heartbeat.sequence < known.sequence ? -1 : 1;
};

/** `needed`: the least token that only this holder can have given, since the worker's counters last began. */
export const classifyHeartbeat = (
  known: KnownCounters,
  heartbeat: HeartbeatCounters,
  source: HeartbeatSource,
  needed: Uint64,
): HeartbeatFreshness => {
  const over = known.expiredIncarnation !== null && heartbeat.incarnation <= known.expiredIncarnation;
  const place = compareCounters(known, heartbeat);
  // Neither ticks nor tokens ever go down in one life of a worker.
  if (over || place <= 0 || heartbeat.token < known.highestToken) {
    if (source.kind === "heartbeat") return place === 0 && heartbeat.token === known.highestToken ? "stale" : "suspect";
    return source.askedAt >= known.learnedAt ? "counters-reset" : "stale";
  }
  const ours = heartbeat.token >= needed;
  if (!known.verified && source.kind === "heartbeat" && !ours) return "unverified";
  // Whoever is known to have been in an earlier session in our time has had no command of anybody else's since.
  if (known.verified && known.incarnation !== null && heartbeat.incarnation > known.incarnation)
    return "new-incarnation";
  return ours ? "fenced" : "verified";
};

/**
 * A report that looks old may just have been overtaken by an answer, and its worker waits for ours. Not where it shows a
 * lower token: shown ours, a worker that has begun anew would look like the one before, with the commands to that still
 * about.
 */
export const mayBeOvertaken = (known: KnownCounters, leaseExpired: boolean, heartbeat: HeartbeatCounters): boolean =>
  !leaseExpired && heartbeat.incarnation === known.incarnation && heartbeat.token >= known.highestToken;
