/** Finds jobs by id, both current jobs and jobs that have ended. */
import type { KeyValueEntry } from "../../protocol/key-value-store.js";
import { jobKey } from "../../storage/keys.js";
import { decodeOutcomeRecord, type OutcomeRecord } from "../../storage/outcome-records.js";
import { requestInterval } from "../../storage/watch-cache.js";
import type { Services } from "../context.js";
import type { TerminalState } from "../jobs/dependency-resolver.js";
import { OutcomeReader } from "../jobs/outcome-reader.js";

const MAX_REMEMBERED_OUTCOMES = 5_000;
/** The share of the key-value store's request limit that all controllers together may use for outcome lookups. */
const LOOKUP_SHARE = 0.15;

/** The result of a lookup by job id. `unknown`: the key-value store could not be read. */
export type JobLookup =
  | { readonly kind: "current"; readonly entry: KeyValueEntry }
  | { readonly kind: "ended"; readonly end: OutcomeRecord }
  | { readonly kind: "not-found" }
  | { readonly kind: "unknown" };

/** Looks up jobs in the watch cache and in the outcome records, and caches the outcome records read last. */
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

  /** Whether local state already shows that the job was accepted. Sends no request. */
  isKnown(id: string): boolean {
    return this.services.cache.entries.has(jobKey(id)) || this.recentOutcomes.has(id);
  }

  /** Reads the job's outcome record. `not-found` means only that there is none: the job may be current. */
  async readTerminalState(id: string): Promise<TerminalState> {
    const remembered = this.recentOutcomes.get(id);
    if (remembered !== undefined) return { kind: "ended", end: remembered };
    const reply = await this.outcomeReader.find(id);
    if (reply.kind === "ok") return { kind: "ended", end: decodeOutcomeRecord(reply.value.value) };
    return { kind: reply.kind === "missing" ? "not-found" : "unknown" };
  }

  /** The result is at least as recent as this call: it reflects every response that any controller sent before. */
  async find(id: string): Promise<JobLookup> {
    const { cache } = this.services;
    const remembered = this.recentOutcomes.get(id);
    if (remembered !== undefined) return { kind: "ended", end: remembered };
    if (!(await cache.sync())) return { kind: "unknown" };
    const entry = cache.entries.get(jobKey(id));
    if (entry !== undefined) return { kind: "current", entry };
    const terminalState = await this.readTerminalState(id);
    if (terminalState.kind !== "not-found") return terminalState;
    // The job may have been accepted during the lookup, and other users may know that before this response arrives.
    const acceptedSince = cache.entries.get(jobKey(id));
    return acceptedSince === undefined ? { kind: "not-found" } : { kind: "current", entry: acceptedSince };
  }

  private rememberOutcome(id: string, outcome: OutcomeRecord): void {
    this.recentOutcomes.set(id, outcome);
    if (this.recentOutcomes.size <= MAX_REMEMBERED_OUTCOMES) return;
    const oldest = this.recentOutcomes.keys().next().value;
    if (oldest !== undefined) this.recentOutcomes.delete(oldest);
  }
}
