/** Classifies workers' messages by incarnation, sequence and fencing token: what may be concluded from each. */

import type { WorkerCounters } from "../../cluster/machine.js";
import type { Uint64 } from "../../protocol/json.js";
import type { Micros } from "../../transport/clock.js";

/** The last known counters of a worker, as far as the freshness of a message depends on them. */
export type KnownCounters = Readonly<
  Pick<WorkerCounters, "incarnation" | "sequence" | "highestToken" | "expiredIncarnation" | "learnedAt" | "verified">
>;

/** The counters that a message carries. */
export interface HeartbeatCounters {
  readonly incarnation: Uint64;
  readonly sequence: Uint64;
  readonly token: Uint64;
}

/** A heartbeat may be a delayed copy; a status reply was written after its query was sent, at `requestedAt`. */
export type HeartbeatSource =
  | { readonly kind: "heartbeat" }
  | { readonly kind: "status-reply"; readonly requestedAt: Micros };

/**
 * What may be concluded from a worker's message (docs/heartbeat-evidence.md):
 * - `stale`: nothing.
 * - `suspect`: nothing, but a worker whose counters were reset looks the same, so a status query is worth its cost.
 * - `unverified`: only where to send a status query, since the message may predate this leader's epoch.
 * - `counters-reset`: the worker's counters were reset; earlier commands may still be delivered.
 * - `verified`: written within this leader's epoch, so the worker is alive and in this incarnation. Commands under
 *   older tokens may still be delivered, so an unlisted task is not proved absent.
 * - `new-incarnation`: verified, and the earlier incarnation has ended with all its tasks and commands.
 * - `fenced`: verified, and only commands under this leader's own tokens can still be delivered.
 */
export type HeartbeatFreshness =
  | "stale"
  | "suspect"
  | "unverified"
  | "counters-reset"
  | "verified"
  | "new-incarnation"
  | "fenced";

/** Orders by incarnation, then by sequence; negative: `heartbeat` was written before the known counters. */
const compareCounters = (known: KnownCounters, heartbeat: HeartbeatCounters): number => {
  if (known.incarnation === null) return 1;
  if (heartbeat.incarnation !== known.incarnation) return heartbeat.incarnation < known.incarnation ? -1 : 1;
  if (heartbeat.sequence === known.sequence) return 0;
  return heartbeat.sequence < known.sequence ? -1 : 1;
};

/** `neededToken`: lowest token that only this leader can have issued since the worker's counters were last reset. */
export const classifyHeartbeat = (
  known: KnownCounters,
  heartbeat: HeartbeatCounters,
  source: HeartbeatSource,
  neededToken: Uint64,
  // biome-ignore lint/complexity/noExcessiveCognitiveComplexity: one table of cases, argued as a whole in docs/heartbeat-evidence.md
): HeartbeatFreshness => {
  const incarnationExpired = known.expiredIncarnation !== null && heartbeat.incarnation <= known.expiredIncarnation;
  const order = compareCounters(known, heartbeat);
  // Sequences and tokens never decrease unless the worker's counters are reset.
  if (incarnationExpired || order <= 0 || heartbeat.token < known.highestToken) {
    if (source.kind === "heartbeat") return order === 0 && heartbeat.token === known.highestToken ? "stale" : "suspect";
    return source.requestedAt >= known.learnedAt ? "counters-reset" : "stale";
  }
  const showsNeededToken = heartbeat.token >= neededToken;
  if (!known.verified && source.kind === "heartbeat" && !showsNeededToken) return "unverified";
  // A worker verified in an earlier incarnation within this epoch has executed no other leader's command since.
  if (known.verified && known.incarnation !== null && heartbeat.incarnation > known.incarnation)
    return "new-incarnation";
  return showsNeededToken ? "fenced" : "verified";
};

/**
 * Whether a heartbeat that looks old may only have been overtaken by a status reply, so that its worker still waits for
 * a response. Not with a lower token than known: once given this leader's token, a worker whose counters were reset
 * would look as it did before the reset, while commands from before the reset may still be delivered.
 */
export const mayBeOvertaken = (known: KnownCounters, leaseExpired: boolean, heartbeat: HeartbeatCounters): boolean =>
  !leaseExpired && heartbeat.incarnation === known.incarnation && heartbeat.token >= known.highestToken;
