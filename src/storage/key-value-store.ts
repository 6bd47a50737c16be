import { formatJson, MalformedMessageError, parseJson, type Uint64 } from "../protocol/json.js";
import {
  type Change,
  decodeChanges,
  decodeEntry,
  decodeEntryPage,
  decodeFailedKeys,
  decodeLeaseId,
  decodeRevision,
  type Entry,
  encodeTransaction,
  type WriteOperation,
} from "../protocol/key-value-store.js";
import { type Clock, type Micros, ms, sleep } from "../transport/clock.js";
import type { HttpClient, HttpOutcome } from "../transport/http.js";
import type { Log } from "../transport/log.js";
import { RateLimit } from "../transport/rate-limit.js";

/** `refused`: surely not executed. `lost`: may have been, or may yet be. `missing`: no such key or lease. */
export type StoreResult<T> =
  | { readonly kind: "ok"; readonly value: T }
  | { readonly kind: "refused" | "lost" | "missing" };

export type TransactionResult =
  | { readonly kind: "ok"; readonly version: Uint64 }
  | { readonly kind: "conflict"; readonly keys: readonly string[] }
  /** Surely not executed, and never will be as it is: a value or the whole is larger than the state service takes by now. */
  | { readonly kind: "too large" }
  /** `busy`: surely not executed, because a limit was passed; the same may be sent again a little later. */
  | { readonly kind: "refused" | "lost" }
  | { readonly kind: "busy" };

export interface StoreBudget {
  readonly requestsPerS: number;
  readonly writesPerS: number;
  readonly writesPerTransaction: number;
  readonly valueBytes?: number;
}

/** What a `KeyValueStore` needs. */
export interface KeyValueStoreOptions {
  readonly http: HttpClient;
  /** Host and port of the state service. */
  readonly address: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly budget: StoreBudget;
  /** From 0 up to 1 exclusive. */
  readonly random: () => number;
}

const REQUEST_TIMEOUT = ms(2_000);

/** Client of the state service. Tells apart what was not executed from what may have been. */
export class KeyValueStore {
  private readonly requests: RateLimit;

  constructor(private readonly options: KeyValueStoreOptions) {
    this.requests = new RateLimit(options.clock, options.budget.requestsPerS);
  }

  /** What this process may ask of the state service. */
  get budget(): StoreBudget {
    return this.options.budget;
  }

  async get(key: string): Promise<StoreResult<Entry>> {
    await this.waitForBudget();
    return this.decode(await this.request("GET", `/kv/${key}`, null), decodeEntry);
  }

  /** Every entry below the prefix, and a revision from which a watch misses nothing. */
  async list(prefix: string): Promise<StoreResult<{ entries: readonly Entry[]; revision: Uint64 }>> {
    const entries: Entry[] = [];
    let revision: Uint64 | null = null;
    for (let from = ""; ; ) {
      const page = await this.page(prefix, from, 500);
      if (page.kind !== "ok") return page;
      // The first page's: later pages may already show changes that a watch from here then repeats.
      revision ??= page.value.revision;
      entries.push(...page.value.entries);
      const last = page.value.entries.at(-1);
      if (!page.value.more || last === undefined) return { kind: "ok", value: { entries, revision } };
      from = last.key;
    }
  }

  /** One page of the entries below the prefix, after the key `from`. */
  async page(
    prefix: string,
    from: string,
    count: number,
  ): Promise<StoreResult<{ entries: readonly Entry[]; more: boolean; revision: Uint64 }>> {
    await this.waitForBudget();
    const query = `/kv?under=${prefix}${from === "" ? "" : `&from=${from}`}&page=${count}`;
    return this.decode(await this.request("GET", query, null), decodeEntryPage);
  }

  async transact(
    conditions: ReadonlyMap<string, Uint64>,
    writes: readonly WriteOperation[],
  ): Promise<TransactionResult> {
    this.requests.take(1);
    const outcome = await this.request("POST", "/txn", encodeTransaction(conditions, writes));
    if (outcome.kind === "answer" && outcome.status === 409) {
      const failed = this.decode({ ...outcome, status: 200 }, decodeFailedKeys);
      return failed.kind === "ok" ? { kind: "conflict", keys: failed.value } : { kind: "lost" };
    }
    if (outcome.kind === "answer" && outcome.status === 400) {
      // A lease that ran out meanwhile is an ordinary answer; anything else is larger than by now is taken.
      if (outcome.body.includes("no such lease")) return { kind: "refused" };
      this.options.log.info("transaction refused as too large", {
        writes: writes.length,
        body: outcome.body.slice(0, 200),
      });
      return { kind: "too large" };
    }
    if (outcome.kind === "answer" && outcome.status === 429) return { kind: "busy" };
    const reply = this.decode(outcome, decodeRevision);
    if (reply.kind === "ok") return { kind: "ok", version: reply.value };
    return { kind: reply.kind === "missing" ? "refused" : reply.kind };
  }

  async grantLease(ttl: Micros): Promise<StoreResult<Uint64>> {
    await this.waitForBudget();
    return this.decode(await this.request("POST", "/grants", { ttlMs: Math.floor(ttl / 1_000) }), decodeLeaseId);
  }

  /** Not paced by the budget: a renewal kept waiting costs more than a request too many. */
  async renewLease(lease: Uint64): Promise<StoreResult<true>> {
    this.requests.take(1);
    return this.decode(await this.request("POST", `/grants/${lease}/touch`, {}), () => true as const);
  }

  async revokeLease(lease: Uint64): Promise<StoreResult<true>> {
    await this.waitForBudget();
    return this.decode(await this.request("DELETE", `/grants/${lease}`, null), () => true as const);
  }

  /** `missing` when `from` is too old. */
  async watch(
    prefix: string,
    from: Uint64,
    wait: Micros,
  ): Promise<StoreResult<{ changes: readonly Change[]; revision: Uint64 }>> {
    await this.waitForBudget();
    const query = `/watch?under=${prefix}&from=${from}&waitMs=${Math.floor(wait / 1_000)}`;
    const outcome = await this.request("GET", query, null, (wait + REQUEST_TIMEOUT) as Micros);
    if (outcome.kind === "answer" && outcome.status === 410) return { kind: "missing" };
    return this.decode(outcome, decodeChanges);
  }

  private async waitForBudget(): Promise<void> {
    for (let wait = this.requests.waitFor(1); wait > 0; wait = this.requests.waitFor(1))
      await sleep(this.options.clock, wait);
    this.requests.take(1);
  }

  private async request(
    method: string,
    target: string,
    body: unknown,
    timeout = REQUEST_TIMEOUT,
  ): Promise<HttpOutcome> {
    const text = body === null ? "" : formatJson(body);
    const outcome = await this.options.http.call(this.options.address, { method, target, body: text }, timeout);
    if (outcome.kind === "answer" && outcome.status === 429) this.requests.pause(ms(50 + 150 * this.options.random()));
    return outcome;
  }

  private decode<T>(outcome: HttpOutcome, parse: (body: unknown) => T): StoreResult<T> {
    if (outcome.kind === "unsent") return { kind: "refused" };
    if (outcome.kind === "lost") return { kind: "lost" };
    if (outcome.status === 404) return { kind: "missing" };
    if (outcome.status === 429 || outcome.status === 503) return { kind: "refused" };
    try {
      if (outcome.status !== 200) throw new MalformedMessageError(`status ${outcome.status}`);
      return { kind: "ok", value: parse(parseJson(outcome.body)) };
    } catch (error) {
      this.options.log.error("malformed answer of the state service", { error: String(error) });
      return { kind: "lost" };
    }
  }
}
