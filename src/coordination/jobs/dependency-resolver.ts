import { createHash } from "node:crypto";
import type { JobSpec } from "../../protocol/job-spec.js";
import { formatJson, type Uint64 } from "../../protocol/json.js";
import type { KeyChange } from "../../protocol/key-value-store.js";
import { decodeJobRecord, encodeJobRecord, type JobRecord, recordedDependencies } from "../../storage/job-records.js";
import { dependencyListKey, jobKey, jobOfKey } from "../../storage/keys.js";
import type { OutcomeRecord } from "../../storage/outcome-records.js";
import { ms, sleep } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";
import type { Services } from "../context.js";
import { LogEvent } from "../log-events.js";

/** Last words looked up at once: more are kept waiting here than in the queue that all questions share. */
const MAX_CONCURRENT_READS = 48;
const RESOLVE_INTERVAL = ms(200);
/** What it rests on may end while it is read. */
const MAX_RESOLVE_ATTEMPTS = 4;
/** What a part's value holds beside its ids. */
const PART_OVERHEAD_BYTES = 16;

/** A job's last word on record; `never`: neither current nor ended. */
export type TerminalState =
  | { readonly kind: "ended"; readonly end: OutcomeRecord }
  | { readonly kind: "not-found" | "unknown" };

/** What is to be said of a list of awaited jobs. `withdrawn`: one of them is, for good. */
export type DependencyCheck =
  | { readonly kind: "resolved"; readonly cancelled: boolean }
  | { readonly kind: "not-found"; readonly id: string }
  | { readonly kind: "unknown" };

/** A record that fits, and what has to be as it was when its transaction is carried out. */
export interface PreparedRecord {
  readonly record: JobRecord;
  readonly conditions: ReadonlyMap<string, Uint64>;
}

/** Reads what the chains of current jobs rest on, at every controller, and puts long lists of awaited jobs on record. */
export class DependencyResolver {
  /** Named by a current job, and neither current nor ended. */
  private readonly neverSubmitted = new Set<string>();

  constructor(
    private readonly services: Services,
    private readonly readTerminalState: (id: string) => Promise<TerminalState>,
  ) {}

  /** What is current has changed. */
  onChange(change: KeyChange): void {
    const { dependencies, cache, log } = this.services;
    const id = jobOfKey(change.key);
    if (id === null) return;
    if (change.kind === "delete") {
      dependencies.remove(id);
      return;
    }
    const record = decodeJobRecord(change.value);
    const awaits = recordedDependencies(record, cache.entries);
    // Its parts are written before it and removed after it.
    if (awaits === null) log.error(LogEvent.DependencyListIncomplete, { job: id });
    dependencies.upsert(id, awaits ?? [id], record.cancelled);
  }

  /** Reads the last words on which the present state rests, for as long as the process lives. */
  async run(): Promise<never> {
    const { dependencies, clock, log } = this.services;
    for (;;) {
      try {
        const questions = dependencies.unresolved();
        for (const id of this.neverSubmitted) if (!questions.includes(id)) this.neverSubmitted.delete(id);
        await this.readTerminalStates(questions.filter((id) => !this.neverSubmitted.has(id)));
      } catch (error) {
        log.error(LogEvent.OutcomeReadFailed, { error: describeError(error) });
      }
      await sleep(clock, RESOLVE_INTERVAL);
    }
  }

  /** Once resolved to true, all on which the job's state rests has been read; false: it can't be told now. */
  async resolve(id: string): Promise<boolean> {
    const { dependencies } = this.services;
    for (let tries = 0; tries < MAX_RESOLVE_ATTEMPTS; tries += 1) {
      const questions = dependencies.unresolvedFor(id).filter((other) => !this.neverSubmitted.has(other));
      if (questions.length === 0) return true;
      if (!(await this.readTerminalStates(questions))) return false;
    }
    return false;
  }

  private async readTerminalStates(ids: readonly string[]): Promise<boolean> {
    const { dependencies, cache } = this.services;
    let all = true;
    for (let from = 0; from < ids.length; from += MAX_CONCURRENT_READS) {
      await Promise.all(
        ids.slice(from, from + MAX_CONCURRENT_READS).map(async (id) => {
          const terminalState = await this.readTerminalState(id);
          if (terminalState.kind === "ended") dependencies.recordTerminalPhase(id, terminalState.end.phase);
          else if (cache.entries.has(jobKey(id))) return;
          else if (terminalState.kind === "unknown") all = false;
          // Accepted jobs never vanish: an older version, which ignores the field, has taken a list that names what nobody
          // submitted. Whatever awaits it waits for ever, and its questions are answered all the same.
          else this.neverSubmitted.add(id);
        }),
      );
    }
    return all;
  }

  /** May a job that awaits these be accepted? Rests on reads that left after the question came. */
  async check(awaits: readonly string[]): Promise<DependencyCheck> {
    const { cache } = this.services;
    if (awaits.length === 0) return { kind: "resolved", cancelled: false };
    if (!(await cache.sync())) return { kind: "unknown" };
    const others = awaits.filter((id) => !cache.entries.has(jobKey(id)));
    let withdrawn = false;
    for (let from = 0; from < others.length; from += MAX_CONCURRENT_READS) {
      const batch = others.slice(from, from + MAX_CONCURRENT_READS);
      const words = await Promise.all(batch.map((id) => this.readTerminalState(id)));
      for (const [at, terminalState] of words.entries()) {
        const id = batch[at] ?? "";
        if (terminalState.kind === "ended") withdrawn ||= terminalState.end.phase === "cancelled";
        else if (cache.entries.has(jobKey(id))) continue;
        else return terminalState.kind === "not-found" ? { kind: "not-found", id } : { kind: "unknown" };
      }
    }
    return { kind: "resolved", cancelled: withdrawn };
  }

  /** The record as it fits: a list that is too long for it is written first, in parts. Null: not to be had now. */
  async prepareRecord(record: JobRecord, most: number): Promise<PreparedRecord | null> {
    const { dependencies, ...rest } = record.spec;
    if (dependencies === undefined || formatJson(encodeJobRecord(record)).length <= most)
      return { record, conditions: new Map() };
    const parts = splitIntoParts(dependencies, most);
    const digest = createHash("sha256").update(dependencies.join(" ")).digest("hex").slice(0, 24);
    const conditions = new Map<string, Uint64>();
    for (const [part, ids] of parts.entries()) {
      const key = dependencyListKey(rest.id, digest, part);
      const version = await this.writePart(key, ids);
      if (version === null) return null;
      conditions.set(key, version);
    }
    // As many as a transaction may have beside the job's own two.
    const kept = [...conditions].slice(0, Math.max(0, this.services.transactions.maxWritesPerTransaction * 4 - 2));
    return {
      record: { ...record, spec: rest, dependencyList: { digest, parts: parts.length } },
      conditions: new Map(kept),
    };
  }

  /** The key holds the list's digest: whatever is there already is the same. */
  private async writePart(key: string, ids: readonly string[]): Promise<Uint64 | null> {
    const { transactions, store } = this.services;
    const result = await transactions.submit(new Map([[key, 0]]), [{ kind: "put", key, value: ids }], "user");
    if (result.kind === "ok") return result.version;
    if (result.kind !== "conflict") return null;
    const there = await store.get(key);
    return there.kind === "ok" ? there.value.version : null;
  }
}

const splitIntoParts = (awaits: readonly string[], most: number): readonly (readonly string[])[] => {
  const parts: string[][] = [];
  let bytes = Number.POSITIVE_INFINITY;
  for (const id of awaits) {
    const more = id.length + 3;
    if (bytes + more > most) {
      parts.push([]);
      bytes = PART_OVERHEAD_BYTES;
    }
    parts.at(-1)?.push(id);
    bytes += more;
  }
  return parts;
};

/** For the size of the record by itself. */
export const withoutDependencies = (spec: JobSpec): Omit<JobSpec, "dependencies"> => {
  const { dependencies: _, ...rest } = spec;
  return rest;
};
