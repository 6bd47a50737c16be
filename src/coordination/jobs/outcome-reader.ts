/**
 * Looks up the outcome records of ended jobs.
 * @module
 */
import type { KeyValueEntry } from "../../protocol/key-value-store.js";
import type { KeyValueStore } from "../../storage/key-value-store.js";
import { outcomeKey } from "../../storage/keys.js";
import { type Clock, type Micros, sleep } from "../../transport/clock.js";
import type { Log } from "../../transport/log.js";
import { LogEvent } from "../log-events.js";

/** A lookup expected to wait longer than this returns `unknown`, to be retried: user requests time out after 2 s. */
const MAX_QUEUE_DELAY_S = 30;
/** With at least this many waiting lookups, a page of records is read instead of a single one. */
const MIN_LOOKUPS_FOR_PAGE = 8;
const PAGE_SIZE = 200;
const MICROS_PER_SECOND = 1_000_000;

/** Result of a lookup. `missing`: there is no outcome record. `unknown`: it could not be read. */
export type OutcomeLookup =
  | { readonly kind: "ok"; readonly value: KeyValueEntry }
  | { readonly kind: "missing" | "unknown" };

interface PendingLookup {
  readonly resolvers: ((found: OutcomeLookup) => void)[];
}

interface RequestedOutcome {
  readonly id: string;
  readonly key: string;
  readonly lookup: PendingLookup;
}

/** A key that sorts just before this one, since a page starts after the key passed to it. */
const keyBefore = (key: string): string =>
  `${key.slice(0, -1)}${String.fromCharCode(key.charCodeAt(key.length - 1) - 1)}~`;

/**
 * Looks up the outcomes of jobs that are not current, in the order of their first request, within a share of the
 * key-value store's request limit. A lookup is carried out even after its callers timed out: the next request then
 * finds the result, and no job stays unanswered forever. With one read per request, lookups used up the request budget
 * of the watch cache, and the leader lost its shard lease.
 */
export class OutcomeReader {
  /** In order of request. Not sent yet, so that further requests for the same job share the lookup. */
  private readonly waiting = new Map<string, PendingLookup>();
  private draining = false;

  constructor(
    private readonly store: Pick<KeyValueStore, "get" | "page">,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly interval: Micros,
    /** Called with each record found. */
    private readonly onFound: (id: string, entry: KeyValueEntry) => void,
  ) {}

  /** Looks up the job's outcome; on `unknown`, the caller should retry. Never rejects. */
  find(id: string): Promise<OutcomeLookup> {
    return new Promise((resolve) => {
      const pending = this.waiting.get(id);
      if (pending !== undefined) pending.resolvers.push(resolve);
      else if (this.waiting.size >= (MAX_QUEUE_DELAY_S * MICROS_PER_SECOND) / this.interval) {
        resolve({ kind: "unknown" });
        return;
      } else this.waiting.set(id, { resolvers: [resolve] });
      void this.drain();
    });
  }

  private async drain(): Promise<void> {
    if (this.draining) return;
    this.draining = true;
    try {
      for (let oldestId = this.oldest(); oldestId !== null; oldestId = this.oldest()) {
        const sentAt = this.clock.now();
        if (this.waiting.size >= MIN_LOOKUPS_FOR_PAGE) await this.readPage(oldestId);
        else await this.readOne(oldestId);
        const pause = sentAt + this.interval - this.clock.now();
        if (pause > 0) await sleep(this.clock, pause as Micros);
      }
    } catch (error) {
      this.log.error(LogEvent.OutcomeLookupFailed, { error: String(error) });
      for (const id of [...this.waiting.keys()]) this.resolve(this.take(id), { kind: "unknown" });
    } finally {
      this.draining = false;
    }
  }

  private oldest(): string | null {
    const [id] = this.waiting.keys();
    return id ?? null;
  }

  /** Removes the lookup from the queue just before its request is sent, so that no later request shares it. */
  private take(id: string): PendingLookup {
    const lookup = this.waiting.get(id) ?? { resolvers: [] };
    this.waiting.delete(id);
    return lookup;
  }

  private resolve({ resolvers }: PendingLookup, result: OutcomeLookup): void {
    for (const resolve of resolvers) resolve(result);
  }

  private async readOne(id: string): Promise<void> {
    const lookup = this.take(id);
    const reply = await this.store.get(outcomeKey(id));
    if (reply.kind === "ok") this.onFound(id, reply.value);
    if (reply.kind === "ok") this.resolve(lookup, { kind: "ok", value: reply.value });
    else this.resolve(lookup, { kind: reply.kind === "missing" ? "missing" : "unknown" });
  }

  /** Reads a page and resolves all waiting lookups within it, including those whose records it shows to be missing. */
  private async readPage(firstId: string): Promise<void> {
    const requested = [...this.waiting.keys()].map((id) => ({ id, key: outcomeKey(id), lookup: this.take(id) }));
    const firstKey = outcomeKey(firstId);
    const reply = await this.store.page(outcomeKey(""), keyBefore(firstKey), PAGE_SIZE);
    if (reply.kind !== "ok") {
      for (const { lookup } of requested) this.resolve(lookup, { kind: "unknown" });
      return;
    }
    const { entries, more } = reply.value;
    const entriesByKey = new Map(entries.map((entry) => [entry.key, entry]));
    const lastKey = entries.at(-1)?.key ?? "";
    const beyondPage: RequestedOutcome[] = [];
    for (const outcome of requested) {
      const { id, key, lookup } = outcome;
      const entry = entriesByKey.get(key);
      if (entry !== undefined) {
        this.onFound(id, entry);
        this.resolve(lookup, { kind: "ok", value: entry });
      } else if (key >= firstKey && (!more || key <= lastKey)) this.resolve(lookup, { kind: "missing" });
      else beyondPage.push(outcome);
    }
    this.requeue(beyondPage);
  }

  /** Puts lookups beyond the page back into the queue, ahead of those added meanwhile. */
  private requeue(outcomes: readonly RequestedOutcome[]): void {
    const newerLookups = [...this.waiting];
    this.waiting.clear();
    for (const { id, lookup } of outcomes) this.waiting.set(id, lookup);
    for (const [id, lookup] of newerLookups) {
      const pending = this.waiting.get(id);
      if (pending === undefined) this.waiting.set(id, lookup);
      else pending.resolvers.push(...lookup.resolvers);
    }
  }
}
