import type { Whole } from "../../protocol/json.js";
import type { Micros } from "../../transport/clock.js";

/** What is known of a worker, by its own counters. */
export interface Known {
  readonly session: Whole | null;
  readonly sequence: Whole;
  /** Highest token that it has shown. */
  readonly seenToken: Whole;
  /** Its lease in this session is surely over. */
  readonly staleSession: Whole | null;
  /** When this was learnt. */
  readonly learntAt: Micros;
  /** What is known was surely written since this holder began. */
  readonly timely: boolean;
}

export interface Said {
  readonly session: Whole;
  readonly sequence: Whole;
  readonly token: Whole;
}

/** A report may be a late copy; an answer to a question of our own was written after the question left. */
export type Origin = { readonly kind: "report" } | { readonly kind: "answer"; readonly askedAt: Micros };

/**
 * What may follow from a worker's message (docs/evidence.md):
 * `old`: nothing. `doubtful`: nothing, but a worker whose counters have begun anew looks the same, so it is worth a
 * question. `unproven`: nothing but whom to ask, since it may be from before our time. `anew`: the counters have begun
 * anew; commands of before may still arrive. `timely`: written in our time, so alive and in this session; commands under
 * older tokens may still arrive, so that what is missing in its list is not gone. `turned`: timely, and its earlier session
 * is over with all tasks and commands of it. `news`: timely, and only commands under our own tokens can still arrive.
 */
export type Evidence = "old" | "doubtful" | "unproven" | "anew" | "timely" | "turned" | "news";

/** Sessions first, then ticks: negative where `said` was written before what is known. */
const order = (known: Known, said: Said): number => {
  if (known.session === null) return 1;
  if (said.session !== known.session) return said.session < known.session ? -1 : 1;
  if (said.sequence === known.sequence) return 0;
  return said.sequence < known.sequence ? -1 : 1;
};

/** `needed`: the least token that only this holder can have given, since the worker's counters last began. */
export const weigh = (known: Known, said: Said, origin: Origin, needed: Whole): Evidence => {
  const over = known.staleSession !== null && said.session <= known.staleSession;
  const place = order(known, said);
  // Neither ticks nor tokens ever go down in one life of a worker.
  if (over || place <= 0 || said.token < known.seenToken) {
    if (origin.kind === "report") return place === 0 && said.token === known.seenToken ? "old" : "doubtful";
    return origin.askedAt >= known.learntAt ? "anew" : "old";
  }
  const ours = said.token >= needed;
  if (!known.timely && origin.kind === "report" && !ours) return "unproven";
  // Whoever is known to have been in an earlier session in our time has had no command of anybody else's since.
  if (known.timely && known.session !== null && said.session > known.session) return "turned";
  return ours ? "news" : "timely";
};

/**
 * A report that looks old may just have been overtaken by an answer, and its worker waits for ours. Not where it shows a
 * lower token: shown ours, a worker that has begun anew would look like the one before, with the commands to that still
 * about.
 */
export const maybeOvertaken = (known: Known & { readonly leaseOver: boolean }, said: Said): boolean =>
  !known.leaseOver && said.session === known.session && said.token >= known.seenToken;
