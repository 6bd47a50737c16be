/** Finds jobs by their ids, current ones and those that have ended. */
import type { KeyValueEntry } from "../../protocol/key-value-store.js";
import { jobKey } from "../../storage/keys.js";
import { decodeOutcomeRecord, type OutcomeRecord } from "../../storage/outcome-records.js";
import { requestInterval } from "../../storage/watch-cache.js";
import type { Services } from "../context.js";
import type { TerminalState } from "../jobs/dependency-resolver.js";
import { OutcomeReader } from "../jobs/outcome-reader.js";

const MAX_REMEMBERED_OUTCOMES = 5_000;
/** Of the key-value store's requests, all controllers together spend this share on looking up outcomes. */
const LOOKUP_SHARE = 0.15;

/** What is known of a job id. */
export type JobLookup =
  | { readonly kind: "current"; readonly entry: KeyValueEntry }
  | { readonly kind: "ended"; readonly end: OutcomeRecord }
  | { readonly kind: "not-found" }
  | { readonly kind: "unknown" };

/** Looks jobs up in the cache and among the recorded outcomes; remembers recent outcomes. */
export class JobFinder {
  private readonly recentOutcomes = new Map<string, OutcomeRecord>();
  private readonly outcomeReader: OutcomeReader;

  constructor(private readonly services: Pick<Services, "cache" | "store" | "clock" | "log" | "settings">) {
    const { store, clock, log, settings } = services;
    const interval = requestInterval(LOOKUP_SHARE, settings.store.requestsPerS, settings.controllers);
    this.outcomeReader = new OutcomeReader(store, clock, log, interval, (id, entry) =>
      this.rememberOutcome(id, decodeOutcomeRecord(entry.value)),
    );
  }

  /** Whether the job is known to be accepted, without any request. */
  isKnown(id: string): boolean {
    return this.services.cache.entries.has(jobKey(id)) || this.recentOutcomes.has(id);
  }

  /** The outcome, or that there is none: nothing of what is current is looked at. */
  async readTerminalState(id: string): Promise<TerminalState> {
    const remembered = this.recentOutcomes.get(id);
    if (remembered !== undefined) return { kind: "ended", end: remembered };
    const reply = await this.outcomeReader.find(id);
    if (reply.kind === "ok") return { kind: "ended", end: decodeOutcomeRecord(reply.value.value) };
    return { kind: reply.kind === "missing" ? "not-found" : "unknown" };
  }

  /** No older than the request: what any controller has told a user before is known to the result. */
  async find(id: string): Promise<JobLookup> {
    const { cache } = this.services;
    const remembered = this.recentOutcomes.get(id);
    if (remembered !== undefined) return { kind: "ended", end: remembered };
    if (!(await cache.sync())) return { kind: "unknown" };
    const entry = cache.entries.get(jobKey(id));
    if (entry !== undefined) return { kind: "current", entry };
    const terminalState = await this.readTerminalState(id);
    if (terminalState.kind !== "not-found") return terminalState;
    // Accepted while it was looked up: other users may have been told so before this response arrives.
    const acceptedSince = cache.entries.get(jobKey(id));
    return acceptedSince === undefined ? { kind: "not-found" } : { kind: "current", entry: acceptedSince };
  }

  private rememberOutcome(id: string, end: OutcomeRecord): void {
    this.recentOutcomes.set(id, end);
    if (this.recentOutcomes.size <= MAX_REMEMBERED_OUTCOMES) return;
    const oldest = this.recentOutcomes.keys().next().value;
    if (oldest !== undefined) this.recentOutcomes.delete(oldest);
  }
}
