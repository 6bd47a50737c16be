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

/** What one process may ask of the key-value store. */
export interface StoreBudget {
  /** Requests a second. */
  readonly requestsPerS: number;
  /** Writes a second, over all transactions. */
  readonly writesPerS: number;
  /** Writes in one transaction, at most. */
  readonly writesPerTransaction: number;
  /** Size of a value in bytes, at most; no bound where absent. */
  readonly valueBytes?: number;
}

/** What a `KeyValueStore` needs. */
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

/** Entries as of a revision. */
export interface EntryList {
  readonly entries: readonly KeyValueEntry[];
  /** A watch from here misses no change of the entries. */
  readonly revision: Uint64;
}

/** Part of the entries below a prefix, in the order of the keys. */
export interface EntryPage extends EntryList {
  /** Whether there are entries after these. */
  readonly more: boolean;
}

/** Changes in the order in which they were made. */
export interface ChangeList {
  readonly changes: readonly KeyChange[];
  /** The next watch goes on from here. */
  readonly revision: Uint64;
}

const REQUEST_TIMEOUT = ms(2_000);
const LIST_PAGE_SIZE = 500;
const MICROS_PER_MS = 1_000;

const toWholeMs = (span: Micros): number => Math.floor(span / MICROS_PER_MS);
const confirmed = (): true => true;

/**
 * Sends requests to the key-value store, paced by the budget, and tells apart what was not executed from what may have
 * been. Failures are results; nothing is thrown, and nothing is tried again here.
 */
export class KeyValueStore {
  private readonly pacer: RequestPacer;

  constructor(private readonly options: KeyValueStoreOptions) {
    this.pacer = new RequestPacer(options.clock, options.budget.requestsPerS, options.random);
  }

  /** What this process may ask of the key-value store. */
  get budget(): StoreBudget {
    return this.options.budget;
  }

  /** One entry; `missing` where there is none. */
  async get(key: string): Promise<StoreResult<KeyValueEntry>> {
    await this.pacer.waitForTurn();
    return this.resultOf(await this.request("GET", `/kv/${key}`, null), decodeEntry);
  }

  /** Every entry below the prefix, and a revision from which a watch misses nothing. */
  async list(prefix: string): Promise<StoreResult<EntryList>> {
    const entries: KeyValueEntry[] = [];
    let revision: Uint64 | null = null;
    for (let from = ""; ; ) {
      const page = await this.page(prefix, from, LIST_PAGE_SIZE);
      if (page.kind !== "ok") return page;
      // The first page's: later pages may already show changes that a watch from here then repeats.
      revision ??= page.value.revision;
      entries.push(...page.value.entries);
      const last = page.value.entries.at(-1);
      if (!page.value.more || last === undefined) return { kind: "ok", value: { entries, revision } };
      from = last.key;
    }
  }

  /** At most `count` entries below the prefix, after the key `from` (empty: from the first). */
  async page(prefix: string, from: string, count: number): Promise<StoreResult<EntryPage>> {
    await this.pacer.waitForTurn();
    const target = `/kv?under=${prefix}${from === "" ? "" : `&from=${from}`}&page=${count}`;
    return this.resultOf(await this.request("GET", target, null), decodeEntryPage);
  }

  /**
   * Carries out all writes if every key of the conditions has the version given there (0: the key does not exist), else
   * none. Not paced by the budget of requests: `TransactionBatcher` keeps to the budget of writes.
   */
  async transact(
    conditions: ReadonlyMap<string, Uint64>,
    writes: readonly WriteOperation[],
  ): Promise<TransactionResult> {
    this.pacer.countUnpaced();
    const outcome = await this.request("POST", "/txn", encodeTransaction(conditions, writes));
    return transactionResultOf(outcome, writes.length, this.options.log);
  }

  /** Grants a lease of this length (whole milliseconds are asked for) and gives its id. */
  async grantLease(ttl: Micros): Promise<StoreResult<Uint64>> {
    await this.pacer.waitForTurn();
    return this.resultOf(await this.request("POST", "/grants", { ttlMs: toWholeMs(ttl) }), decodeLeaseId);
  }

  /**
   * Not paced by the budget: a renewal kept waiting costs more than a request too many. `missing`: the lease has
   * expired.
   */
  async renewLease(lease: Uint64): Promise<StoreResult<true>> {
    this.pacer.countUnpaced();
    return this.resultOf(await this.request("POST", `/grants/${lease}/touch`, {}), confirmed);
  }

  /** Ends a lease, and with it all keys attached to it; `missing` where it has expired. */
  async revokeLease(lease: Uint64): Promise<StoreResult<true>> {
    await this.pacer.waitForTurn();
    return this.resultOf(await this.request("DELETE", `/grants/${lease}`, null), confirmed);
  }

  /**
   * The changes below the prefix after the revision `from`; where there are none the key-value store waits for one, no
   * longer than `wait`. `missing` when `from` is too old: the entries are to be listed again.
   */
  async watch(prefix: string, from: Uint64, wait: Micros): Promise<StoreResult<ChangeList>> {
    await this.pacer.waitForTurn();
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
