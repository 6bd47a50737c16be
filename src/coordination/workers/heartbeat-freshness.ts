/** How fresh a worker's message is, by its incarnation, sequence and fencing token: what may be concluded from it. */

import type { WorkerCounters } from "../../cluster/machine.js";
import type { Uint64 } from "../../protocol/json.js";
import type { Micros } from "../../transport/clock.js";

/** What is known of a worker by its own counters, as far as the freshness of a heartbeat depends on it. */
export type KnownCounters = Readonly<
  Pick<WorkerCounters, "incarnation" | "sequence" | "highestToken" | "expiredIncarnation" | "learnedAt" | "verified">
>;

/** The counters that a message shows. */
export interface HeartbeatCounters {
  readonly incarnation: Uint64;
  readonly sequence: Uint64;
  readonly token: Uint64;
}

/** A heartbeat may be a late copy; a reply to a status query was written after the query left, at `askedAt`. */
export type HeartbeatSource =
  | { readonly kind: "heartbeat" }
  | { readonly kind: "status-reply"; readonly askedAt: Micros };

/**
 * What may follow from a worker's message (docs/heartbeat-evidence.md):
 * `stale`: nothing. `suspect`: nothing, but a worker whose counters were reset looks the same, so it is worth a
 * query. `unverified`: nothing but whom to ask, since it may be from before this leader's time. `counters-reset`: the counters were
 * reset; commands of before may still arrive. `verified`: written in this leader's time, so alive and in this incarnation; commands under
 * older tokens may still arrive, so that what is missing in its list is not gone. `new-incarnation`: verified, and its earlier incarnation
 * is over with all tasks and commands of it. `fenced`: verified, and only commands under this leader's own tokens can still arrive.
 */
export type HeartbeatFreshness =
  | "stale"
  | "suspect"
  | "unverified"
  | "counters-reset"
  | "verified"
  | "new-incarnation"
  | "fenced";

/** Incarnations first, then sequences: negative where `heartbeat` was written before what is known. */
const compareCounters = (known: KnownCounters, heartbeat: HeartbeatCounters): number => {
  if (known.incarnation === null) return 1;
  if (heartbeat.incarnation !== known.incarnation) return heartbeat.incarnation < known.incarnation ? -1 : 1;
  if (heartbeat.sequence === known.sequence) return 0;
  return heartbeat.sequence < known.sequence ? -1 : 1;
};

/** `neededToken`: the least token that only this leader can have given, since the worker's counters were last reset. */
export const classifyHeartbeat = (
  known: KnownCounters,
  heartbeat: HeartbeatCounters,
  source: HeartbeatSource,
  neededToken: Uint64,
  // biome-ignore lint/complexity/noExcessiveCognitiveComplexity: one table of cases, argued as a whole in docs/heartbeat-evidence.md
): HeartbeatFreshness => {
  const incarnationExpired = known.expiredIncarnation !== null && heartbeat.incarnation <= known.expiredIncarnation;
  const order = compareCounters(known, heartbeat);
  // Neither sequences nor tokens ever go down in one life of a worker.
  if (incarnationExpired || order <= 0 || heartbeat.token < known.highestToken) {
    if (source.kind === "heartbeat") return order === 0 && heartbeat.token === known.highestToken ? "stale" : "suspect";
    return source.askedAt >= known.learnedAt ? "counters-reset" : "stale";
  }
  const showsNeededToken = heartbeat.token >= neededToken;
  if (!known.verified && source.kind === "heartbeat" && !showsNeededToken) return "unverified";
  // A worker known to have been in an earlier incarnation in this leader's time has had no other leader's command since.
  if (known.verified && known.incarnation !== null && heartbeat.incarnation > known.incarnation)
    return "new-incarnation";
  return showsNeededToken ? "fenced" : "verified";
};

/**
 * A heartbeat that looks old may just have been overtaken by a status reply, and its worker waits for a response. Not where
 * it shows a lower token: shown this leader's, a worker whose counters were reset would look like the one before, with the
 * commands to that still under way.
 */
export const mayBeOvertaken = (known: KnownCounters, leaseExpired: boolean, heartbeat: HeartbeatCounters): boolean =>
  !leaseExpired && heartbeat.incarnation === known.incarnation && heartbeat.token >= known.highestToken;
