/**
 * Client of the key-value store: consensus-backed, with leases, watches and compare-and-swap transactions.
 * @module
 */
import { formatJson, type Uint64 } from "../protocol/json.js";
import {
  decodeChanges,
  decodeEntry,
  decodeEntryPage,
  decodeLeaseId,
  encodeTransaction,
  type KeyChange,
  type KeyValueEntry,
  type WriteOperation,
} from "../protocol/key-value-store.js";
import { type Clock, type Micros, ms } from "../transport/clock.js";
import type { HttpClient, HttpOutcome } from "../transport/http.js";
import type { Log } from "../transport/log.js";
import { RequestPacer } from "./request-pacer.js";
import {
  STATUS_TOO_MANY_REQUESTS,
  type StoreResult,
  storeResultOf,
  type TransactionResult,
  transactionResultOf,
  watchResultOf,
} from "./store-results.js";

/** Rate and size limits for one process's use of the key-value store. */
export interface StoreBudget {
  /** Requests per second. */
  readonly requestsPerS: number;
  /** Writes per second, summed over all transactions. */
  readonly writesPerS: number;
  /** Maximum number of writes in one transaction. */
  readonly writesPerTransaction: number;
  /** Maximum size of a value in bytes; absent: unlimited. */
  readonly valueBytes?: number;
}

/** Dependencies and settings of a `KeyValueStore`. */
export interface KeyValueStoreOptions {
  readonly http: HttpClient;
  /** Host and port of the key-value store. */
  readonly address: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly budget: StoreBudget;
  /** From 0 up to 1 exclusive. */
  readonly random: () => number;
}

/** Entries below a prefix, read at a revision. */
export interface EntryList {
  readonly entries: readonly KeyValueEntry[];
  /** A watch from this revision misses no change of the entries. */
  readonly revision: Uint64;
}

/** One page of the entries below a prefix, in key order. */
export interface EntryPage extends EntryList {
  /** Whether there are further entries after this page. */
  readonly more: boolean;
}

/** Changes returned by a watch, in revision order. */
export interface ChangeList {
  readonly changes: readonly KeyChange[];
  /** The revision from which the next watch continues. */
  readonly revision: Uint64;
}

const REQUEST_TIMEOUT = ms(2_000);
const LIST_PAGE_SIZE = 500;
const MICROS_PER_MS = 1_000;

const toWholeMs = (span: Micros): number => Math.floor(span / MICROS_PER_MS);
const decodeAcknowledgement = (): true => true;

/**
 * Sends requests to the key-value store, rate-limited by the budget. Results distinguish requests that were not
 * executed from those that may have been. Failures are returned as results, never thrown, and no request is retried
 * here.
 */
export class KeyValueStore {
  private readonly pacer: RequestPacer;

  constructor(private readonly options: KeyValueStoreOptions) {
    this.pacer = new RequestPacer(options.clock, options.budget.requestsPerS, options.random);
  }

  /** Rate and size limits for this process. */
  get budget(): StoreBudget {
    return this.options.budget;
  }

  /** Reads one entry; `missing` where the key does not exist. */
  async get(key: string): Promise<StoreResult<KeyValueEntry>> {
    await this.pacer.acquire();
    return this.resultOf(await this.request("GET", `/kv/${key}`, null), decodeEntry);
  }

  /** Lists all entries below the prefix, with a revision from which a watch misses no change. */
  async list(prefix: string): Promise<StoreResult<EntryList>> {
    const entries: KeyValueEntry[] = [];
    let revision: Uint64 | null = null;
    for (let from = ""; ; ) {
      const page = await this.page(prefix, from, LIST_PAGE_SIZE);
      if (page.kind !== "ok") return page;
      // Revision of the first page: a watch from there repeats changes that later pages may already contain, and misses
      // none.
      revision ??= page.value.revision;
      entries.push(...page.value.entries);
      const last = page.value.entries.at(-1);
      if (!page.value.more || last === undefined) return { kind: "ok", value: { entries, revision } };
      from = last.key;
    }
  }

  /** Reads at most `count` entries below the prefix, after the key `from` (empty: from the first). */
  async page(prefix: string, from: string, count: number): Promise<StoreResult<EntryPage>> {
    await this.pacer.acquire();
    const target = `/kv?under=${prefix}${from === "" ? "" : `&from=${from}`}&page=${count}`;
    return this.resultOf(await this.request("GET", target, null), decodeEntryPage);
  }

  /**
   * Compare-and-swap transaction: applies all writes if every key of the conditions has the given version (0: the key
   * does not exist), else none. Does not wait for the request budget: `TransactionBatcher` enforces the write budget.
   */
  async transact(
    conditions: ReadonlyMap<string, Uint64>,
    writes: readonly WriteOperation[],
  ): Promise<TransactionResult> {
    this.pacer.countUnpaced();
    const outcome = await this.request("POST", "/txn", encodeTransaction(conditions, writes));
    return transactionResultOf(outcome, writes.length, this.options.log);
  }

  /** Grants a lease and returns its id. The time to live is rounded down to whole milliseconds. */
  async grantLease(ttl: Micros): Promise<StoreResult<Uint64>> {
    await this.pacer.acquire();
    return this.resultOf(await this.request("POST", "/grants", { ttlMs: toWholeMs(ttl) }), decodeLeaseId);
  }

  /**
   * Renews a lease; `missing` where it has expired. Does not wait for the request budget: a delayed renewal costs more
   * than a request above the budget.
   */
  async renewLease(lease: Uint64): Promise<StoreResult<true>> {
    this.pacer.countUnpaced();
    return this.resultOf(await this.request("POST", `/grants/${lease}/touch`, {}), decodeAcknowledgement);
  }

  /** Revokes a lease, which deletes all keys attached to it; `missing` where it has expired. */
  async revokeLease(lease: Uint64): Promise<StoreResult<true>> {
    await this.pacer.acquire();
    return this.resultOf(await this.request("DELETE", `/grants/${lease}`, null), decodeAcknowledgement);
  }

  /**
   * Returns the changes below the prefix after the revision `from`. Where there are none, the key-value store waits up
   * to `wait` for one. `missing`: `from` is too old, and the entries must be listed again.
   */
  async watch(prefix: string, from: Uint64, wait: Micros): Promise<StoreResult<ChangeList>> {
    await this.pacer.acquire();
    const target = `/watch?under=${prefix}&from=${from}&waitMs=${toWholeMs(wait)}`;
    const outcome = await this.request("GET", target, null, (wait + REQUEST_TIMEOUT) as Micros);
    return watchResultOf(outcome, decodeChanges, this.options.log);
  }

  private async request(
    method: string,
    target: string,
    body: unknown,
    timeout = REQUEST_TIMEOUT,
  ): Promise<HttpOutcome> {
    const { http, address } = this.options;
    const text = body === null ? "" : formatJson(body);
    const outcome = await http.call(address, { method, target, body: text }, timeout);
    if (outcome.kind === "answer" && outcome.status === STATUS_TOO_MANY_REQUESTS) this.pacer.recordTooManyRequests();
    return outcome;
  }

  private resultOf<T>(outcome: HttpOutcome, decode: (body: unknown) => T): StoreResult<T> {
    return storeResultOf(outcome, decode, this.options.log);
  }
}
