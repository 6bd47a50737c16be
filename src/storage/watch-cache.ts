/**
 * A copy in memory of all current records, kept up to date by a watch.
 * @module
 */
import type { Uint64 } from "../protocol/json.js";
import type { KeyChange, KeyValueEntry } from "../protocol/key-value-store.js";
import { type Clock, type Micros, ms, seconds, sleep } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import type { ChangeList, EntryList, KeyValueStore } from "./key-value-store.js";
import { LogEvent } from "./log-events.js";
import { SharedRequest } from "./shared-request.js";

/** Short, so that an idle watch still proves every second or so that nothing has been missed. */
const WATCH_TIMEOUT = ms(1_000);
/** A watch that answers at once, with what has changed so far. */
const NO_WAIT = 0 as Micros;
const LIST_RETRY_DELAY = ms(200);
const WATCH_RETRY_DELAY = ms(150);
/** All controllers together spend this share of the key-value store's requests on watching. */
export const WATCH_REQUEST_SHARE = 0.3;
/** All controllers together spend this share of the key-value store's requests on `sync`. */
export const SYNC_REQUEST_SHARE = 0.25;
const MIN_REQUEST_INTERVAL = ms(15);

/** Between two requests of one controller, so that all of them keep to the share; 15 ms at least. */
export const requestInterval = (share: number, requestsPerS: number, controllers: number): Micros =>
  Math.max(MIN_REQUEST_INTERVAL, seconds(controllers / (share * requestsPerS))) as Micros;

/** What a `WatchCache` needs. */
export interface WatchCacheOptions {
  readonly store: KeyValueStore;
  /** Of the keys that are kept. */
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: Log;
  /** From the start of one watch request to the start of the next, at least. */
  readonly watchInterval: Micros;
  /** From one request made for `sync` to the next, at least. */
  readonly syncInterval: Micros;
  /** The factor by which `syncInterval` is to be longer at present; always 1 where absent. */
  readonly syncSlowdown?: () => number;
}

/** Called with one change after it is in the cache. */
export type ChangeListener = (change: KeyChange) => void;

/** This process's copy of all that is current below one prefix, fed by a watch. */
export class WatchCache {
  /** By key. */
  readonly entries = new Map<string, KeyValueEntry>();
  /** Everything changed up to this moment (by the clock of the options) is known here; null until the first list. */
  freshAsOf: Micros | null = null;
  /** The watch goes on from here; null while the entries are to be listed. */
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

  /** All changes up to this revision are in the cache; null while the entries are to be listed. */
  get currentRevision(): Uint64 | null {
    return this.revision;
  }

  /** Whether the entries have been listed and a watch can go on from there. */
  get loaded(): boolean {
    return this.revision !== null;
  }

  /** Calls the listener with each change from now on, in order. */
  onChange(listener: ChangeListener): void {
    this.listeners.push(listener);
  }

  /**
   * For what others conclude from: told of all changes that have come together before any other listener is told of the
   * first of them. A leader that took its shard in the midst of a list found jobs there of which the dependencies had not
   * been told yet, and never began them.
   */
  onChangeFirst(listener: ChangeListener): void {
    this.firstListeners.push(listener);
  }

  /** Lists, and then watches for as long as the process runs. To be called once. */
  async run(): Promise<never> {
    const { clock, watchInterval } = this.options;
    for (;;) {
      const startedAt = clock.now();
      if (this.revision === null) await this.load();
      else {
        const watched = await this.catchUp(this.revision, WATCH_TIMEOUT);
        if (!watched) await sleep(clock, WATCH_RETRY_DELAY);
      }
      const rest = startedAt + watchInterval - clock.now();
      if (rest > 0) await sleep(clock, rest as Micros);
    }
  }

  /**
   * Resolves to true once the cache holds all that was decided before the call; to false where the key-value store gave no
   * answer. Calls made at about the same time share one request.
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
    const changes = this.changesTo(reply.value);
    this.applyAll(changes);
    this.freshAsOf = sentAt;
    this.notify(changes);
    log.info(LogEvent.CacheLoaded, { entries: this.entries.size });
  }

  /** What has to change here to be as in the list: deletions first. */
  private changesTo({ entries, revision }: EntryList): readonly KeyChange[] {
    const listedKeys = new Set(entries.map((entry) => entry.key));
    const changes: KeyChange[] = [...this.entries.keys()]
      .filter((key) => !listedKeys.has(key))
      .map((key) => ({ kind: "delete", key, version: revision }));
    for (const entry of entries) {
      if (this.entries.get(entry.key)?.version !== entry.version) changes.push({ kind: "put", ...entry });
    }
    return changes;
  }

  /** False where the key-value store gave no answer, or the entries have to be listed first. */
  private async catchUp(from: Uint64, wait: Micros): Promise<boolean> {
    const { store, prefix, clock } = this.options;
    const sentAt = clock.now();
    const reply = await store.watch(prefix, from, wait);
    if (reply.kind === "missing") {
      this.revision = null;
      return false;
    }
    if (reply.kind !== "ok") return false;
    // A reload in between may have set the revision back to null: it brings everything itself.
    if (this.revision === null) return false;
    const changes = this.advance(this.revision, reply.value);
    this.freshAsOf = Math.max(this.freshAsOf ?? 0, sentAt) as Micros;
    this.applyAll(changes);
    this.notify(changes);
    return true;
  }

  /**
   * The changes that are new here. Two requests overlap; what the other one brought must not be undone by an older
   * change.
   */
  private advance(known: Uint64, { changes, revision }: ChangeList): readonly KeyChange[] {
    if (revision > known) this.revision = revision;
    return changes.filter(({ version }) => version > known);
  }

  /**
   * All of them before any listener is told: a list comes in the order of the keys, and who takes a shard over on seeing
   * its key needs the ranges that were written before.
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
