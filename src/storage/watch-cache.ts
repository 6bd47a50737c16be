/**
 * In-memory cache of all current records, kept up to date by a watch.
 * @module
 */
import type { Uint64 } from "../protocol/json.js";
import type { KeyChange, KeyValueEntry } from "../protocol/key-value-store.js";
import { type Clock, type Micros, ms, seconds, sleep } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import type { ChangeList, EntryList, KeyValueStore } from "./key-value-store.js";
import { LogEvent } from "./log-events.js";
import { SharedRequest } from "./shared-request.js";

/** Short, so that even an idle watch confirms about once a second that the cache is up to date. */
const WATCH_TIMEOUT = ms(1_000);
/** Wait time of a watch that responds immediately with the changes so far. */
const NO_WAIT = 0 as Micros;
const LIST_RETRY_DELAY = ms(200);
const WATCH_RETRY_DELAY = ms(150);
/** Share of the key-value store's request rate that all controllers together use for watches. */
export const WATCH_REQUEST_SHARE = 0.3;
/** Share of the key-value store's request rate that all controllers together use for `sync`. */
export const SYNC_REQUEST_SHARE = 0.25;
const MIN_REQUEST_INTERVAL = ms(15);

/**
 * Minimum time between two requests of one controller, so that all of them together stay within the share; 15 ms or
 * more.
 */
export const requestInterval = (share: number, requestsPerS: number, controllers: number): Micros =>
  Math.max(MIN_REQUEST_INTERVAL, seconds(controllers / (share * requestsPerS))) as Micros;

/** Dependencies and settings of a `WatchCache`. */
export interface WatchCacheOptions {
  readonly store: KeyValueStore;
  /** Prefix of the cached keys. */
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Minimum time between the starts of two watch requests. */
  readonly watchInterval: Micros;
  /** Minimum time between the starts of two requests made for `sync`. */
  readonly syncInterval: Micros;
  /** Current factor by which `syncInterval` is extended; 1 where absent. */
  readonly syncSlowdown?: () => number;
}

/** Called with each change after the cache contains it. */
export type ChangeListener = (change: KeyChange) => void;

/** This process's cache of all entries below one prefix, updated by a watch. */
export class WatchCache {
  /** Cached entries by key. */
  readonly entries = new Map<string, KeyValueEntry>();
  /** All changes made up to this time (by the clock of the options) are in the cache; null until the first list. */
  freshAsOf: Micros | null = null;
  /** Revision from which the watch continues; null while the entries must be listed. */
  private revision: Uint64 | null = null;
  private readonly listeners: ChangeListener[] = [];
  private readonly firstListeners: ChangeListener[] = [];
  private readonly syncRequests: SharedRequest;

  constructor(private readonly options: WatchCacheOptions) {
    const { clock, syncInterval, syncSlowdown } = options;
    this.syncRequests = new SharedRequest(
      clock,
      () => (syncInterval * (syncSlowdown?.() ?? 1)) as Micros,
      () => (this.revision === null ? false : this.catchUp(this.revision, NO_WAIT)),
    );
  }

  /** All changes up to this revision are in the cache; null while the entries must be listed. */
  get currentRevision(): Uint64 | null {
    return this.revision;
  }

  /** Whether the entries have been listed, so that a watch can continue from their revision. */
  get loaded(): boolean {
    return this.revision !== null;
  }

  /** Registers a listener that is called with each subsequent change, in order. */
  onChange(listener: ChangeListener): void {
    this.listeners.push(listener);
  }

  /**
   * Registers a listener that is called with all changes of a list or watch response before any other listener is
   * called with the first of them. Meant for derived state that other listeners read: without this order, a leader that
   * acquired its shard while a list was being delivered found jobs without their dependencies, and never started them.
   */
  onChangeBeforeOthers(listener: ChangeListener): void {
    this.firstListeners.push(listener);
  }

  /** Lists the entries and then watches them for the lifetime of the process. Must be called once only. */
  async run(): Promise<never> {
    const { clock, watchInterval } = this.options;
    for (;;) {
      const startedAt = clock.now();
      if (this.revision === null) await this.load();
      else {
        const succeeded = await this.catchUp(this.revision, WATCH_TIMEOUT);
        if (!succeeded) await sleep(clock, WATCH_RETRY_DELAY);
      }
      const remaining = startedAt + watchInterval - clock.now();
      if (remaining > 0) await sleep(clock, remaining as Micros);
    }
  }

  /**
   * Resolves to true once the cache contains all changes committed before the call; to false where the key-value store
   * did not respond or the entries must be listed first. Calls made at about the same time share one request.
   */
  sync(): Promise<boolean> {
    return this.syncRequests.request();
  }

  private async load(): Promise<void> {
    const { store, prefix, clock, log } = this.options;
    const sentAt = clock.now();
    const reply = await store.list(prefix);
    if (reply.kind !== "ok") {
      await sleep(clock, LIST_RETRY_DELAY);
      return;
    }
    this.revision = reply.value.revision;
    const changes = this.differencesFrom(reply.value);
    this.applyAll(changes);
    this.freshAsOf = sentAt;
    this.notify(changes);
    log.info(LogEvent.CacheLoaded, { entries: this.entries.size });
  }

  /** The changes that make the cache equal to the list, deletions first. */
  private differencesFrom({ entries, revision }: EntryList): readonly KeyChange[] {
    const listedKeys = new Set(entries.map((entry) => entry.key));
    const changes: KeyChange[] = [...this.entries.keys()]
      .filter((key) => !listedKeys.has(key))
      .map((key) => ({ kind: "delete", key, version: revision }));
    for (const entry of entries) {
      if (this.entries.get(entry.key)?.version !== entry.version) changes.push({ kind: "put", ...entry });
    }
    return changes;
  }

  /**
   * Applies the changes after `from`. False where the key-value store did not respond, or the entries must be listed
   * first.
   */
  private async catchUp(from: Uint64, wait: Micros): Promise<boolean> {
    const { store, prefix, clock } = this.options;
    const sentAt = clock.now();
    const reply = await store.watch(prefix, from, wait);
    if (reply.kind === "missing") {
      this.revision = null;
      return false;
    }
    if (reply.kind !== "ok") return false;
    // Another request may have reset the revision to null meanwhile; the list that follows then contains these changes.
    if (this.revision === null) return false;
    const changes = this.advanceRevision(this.revision, reply.value);
    this.freshAsOf = Math.max(this.freshAsOf ?? 0, sentAt) as Micros;
    this.applyAll(changes);
    this.notify(changes);
    return true;
  }

  /**
   * Advances the revision, and returns the changes that are not in the cache yet. The requests of the watch and of
   * `sync` overlap, and an older change in one response must not overwrite a newer one from the other.
   */
  private advanceRevision(current: Uint64, { changes, revision }: ChangeList): readonly KeyChange[] {
    if (revision > current) this.revision = revision;
    return changes.filter(({ version }) => version > current);
  }

  /**
   * Applies all changes before any listener is called: a list is in key order, and a controller that takes over a shard
   * when its key appears needs the task ranges written before, whose keys come later in the list.
   */
  private applyAll(changes: readonly KeyChange[]): void {
    for (const change of changes) {
      if (change.kind === "put") this.entries.set(change.key, change);
      else this.entries.delete(change.key);
    }
  }

  private notify(changes: readonly KeyChange[]): void {
    for (const change of changes) for (const listener of this.firstListeners) listener(change);
    for (const change of changes) for (const listener of this.listeners) listener(change);
  }
}
