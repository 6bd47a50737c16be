/**
 * Resolves the dependencies of jobs: reads the outcomes of those that are no longer current.
 * @module
 */
import type { JobSpec } from "../../protocol/job-spec.js";
import type { KeyChange } from "../../protocol/key-value-store.js";
import { decodeJobRecord, type JobRecord, recordedDependencies } from "../../storage/job-records.js";
import { jobKey, jobOfKey } from "../../storage/keys.js";
import type { OutcomeRecord } from "../../storage/outcome-records.js";
import { ms, sleep } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";
import type { Services } from "../context.js";
import { LogEvent } from "../log-events.js";
import { DependencyListWriter, type PreparedRecord } from "./dependency-list.js";

/** Concurrent outcome lookups; further ones wait here, not in the request queue shared by all callers. */
const MAX_CONCURRENT_READS = 48;
/** Between two passes over the unresolved dependencies. */
const RESOLVE_INTERVAL = ms(200);
/** Dependencies of a job may end while others are read, so that further reads are needed. */
const MAX_RESOLVE_ATTEMPTS = 4;

/** The outcome of a job. `not-found`: neither current nor ended. `unknown`: the outcome could not be read. */
export type TerminalState =
  | { readonly kind: "ended"; readonly end: OutcomeRecord }
  | { readonly kind: "not-found" | "unknown" };

/**
 * Whether a job with these dependencies may be accepted. `cancelled`: at least one of them ended as cancelled, which is
 * final. `not-found`: no job with this id was ever accepted. `unknown`: the records could not be read.
 */
export type DependencyCheck =
  | { readonly kind: "resolved"; readonly cancelled: boolean }
  | { readonly kind: "not-found"; readonly id: string }
  | { readonly kind: "unknown" };

/**
 * Reads the outcomes that the dependency graph of current jobs needs, on every controller, and checks whether a job's
 * dependencies permit its acceptance.
 */
export class DependencyResolver {
  /** Dependencies of current jobs that are neither current nor ended. */
  private readonly neverSubmitted = new Set<string>();
  private readonly listWriter: DependencyListWriter;

  constructor(
    private readonly services: Services,
    private readonly readTerminalState: (id: string) => Promise<TerminalState>,
  ) {
    this.listWriter = new DependencyListWriter(services);
  }

  /** Applies a change of the current jobs' records to the dependency graph. Throws if a record is malformed. */
  onChange(change: KeyChange): void {
    const { dependencies, cache, log } = this.services;
    const id = jobOfKey(change.key);
    if (id === null) return;
    if (change.kind === "delete") {
      dependencies.remove(id);
      return;
    }
    const record = decodeJobRecord(change.value);
    const dependencyIds = recordedDependencies(record, cache.entries);
    // The parts of a list are written before the job's record and deleted after it.
    if (dependencyIds === null) log.error(LogEvent.DependencyListIncomplete, { job: id });
    // Without its list, the job is made to depend on itself, so that it never starts.
    dependencies.upsert(id, dependencyIds ?? [id], record.cancelled);
  }

  /** Periodically reads the outcomes of unresolved dependencies; never returns. */
  async run(): Promise<never> {
    const { dependencies, clock, log } = this.services;
    for (;;) {
      try {
        const unresolvedIds = dependencies.unresolved();
        for (const id of this.neverSubmitted) if (!unresolvedIds.includes(id)) this.neverSubmitted.delete(id);
        await this.readTerminalStates(unresolvedIds.filter((id) => !this.neverSubmitted.has(id)));
      } catch (error) {
        log.error(LogEvent.OutcomeReadFailed, { error: describeError(error) });
      }
      await sleep(clock, RESOLVE_INTERVAL);
    }
  }

  /** Reads all outcomes that determine the job's state. False: some could not be read. */
  async resolve(id: string): Promise<boolean> {
    const { dependencies } = this.services;
    for (let attempt = 0; attempt < MAX_RESOLVE_ATTEMPTS; attempt += 1) {
      const unresolvedIds = dependencies.unresolvedFor(id).filter((other) => !this.neverSubmitted.has(other));
      if (unresolvedIds.length === 0) return true;
      if (!(await this.readTerminalStates(unresolvedIds))) return false;
    }
    return false;
  }

  /** Reads the outcomes and applies them to the dependency graph. False: some could not be read. */
  private async readTerminalStates(ids: readonly string[]): Promise<boolean> {
    let allRead = true;
    for (let from = 0; from < ids.length; from += MAX_CONCURRENT_READS) {
      await Promise.all(
        ids.slice(from, from + MAX_CONCURRENT_READS).map(async (id) => {
          const terminalState = await this.readTerminalState(id);
          if (!this.applyTerminalState(id, terminalState)) allRead = false;
        }),
      );
    }
    return allRead;
  }

  /** Applies one outcome to the dependency graph. False: the job's state is unknown. */
  private applyTerminalState(id: string, terminalState: TerminalState): boolean {
    const { dependencies, cache } = this.services;
    if (terminalState.kind === "ended") {
      dependencies.recordTerminalPhase(id, terminalState.end.phase);
      return true;
    }
    if (cache.entries.has(jobKey(id))) return true;
    if (terminalState.kind === "unknown") return false;
    // Accepted jobs never vanish, so this one was never submitted: an older version, which ignores the field, accepted
    // a list that names it. Its dependents wait forever, but must not block status requests for them.
    this.neverSubmitted.add(id);
    return true;
  }

  /** Whether a job with these dependencies may be accepted, based only on reads sent after this call. */
  // biome-ignore lint/complexity/noExcessiveCognitiveComplexity: batches are read in turn until a result decides
  async check(dependencyIds: readonly string[]): Promise<DependencyCheck> {
    const { cache } = this.services;
    if (dependencyIds.length === 0) return { kind: "resolved", cancelled: false };
    if (!(await cache.sync())) return { kind: "unknown" };
    const idsToRead = dependencyIds.filter((id) => !cache.entries.has(jobKey(id)));
    let cancelled = false;
    for (let from = 0; from < idsToRead.length; from += MAX_CONCURRENT_READS) {
      const batch = idsToRead.slice(from, from + MAX_CONCURRENT_READS);
      const terminalStates = await Promise.all(batch.map((id) => this.readTerminalState(id)));
      for (const [index, terminalState] of terminalStates.entries()) {
        const id = batch[index] ?? "";
        if (terminalState.kind === "ended") cancelled ||= terminalState.end.phase === "cancelled";
        else if (cache.entries.has(jobKey(id))) continue;
        else return terminalState.kind === "not-found" ? { kind: "not-found", id } : { kind: "unknown" };
      }
    }
    return { kind: "resolved", cancelled };
  }

  /** See `DependencyListWriter.prepareRecord`. */
  prepareRecord(record: JobRecord, maxBytes: number): Promise<PreparedRecord | null> {
    return this.listWriter.prepareRecord(record, maxBytes);
  }
}

/** The specification without its dependencies, to compute the size of the record without the list. */
export const withoutDependencies = (spec: JobSpec): Omit<JobSpec, "dependencies"> => {
  const { dependencies: _, ...rest } = spec;
  return rest;
};
