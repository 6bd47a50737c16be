import type { Uint64 } from "../protocol/json.js";
import type { Change, Entry } from "../protocol/key-value-store.js";
import { type Clock, type Micros, ms, seconds, sleep } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import type { KeyValueStore } from "./key-value-store.js";

/** Short, so that an idle watch still proves every second or so that nothing has been missed. */
const WATCH_TIMEOUT = ms(1_000);
/** All controllers together spend these shares of the state service's requests on following and on questions. */
export const WATCH_REQUEST_SHARE = 0.3;
export const SYNC_REQUEST_SHARE = 0.25;
const MIN_REQUEST_INTERVAL = ms(15);

/** Between two requests of one controller, so that all of them keep to the share. */
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

/** This process's copy of all that is current below one prefix, fed by a watch. */
export class WatchCache {
  readonly entries = new Map<string, Entry>();
  private revision: Uint64 | null = null;
  private readonly listeners: ((change: Change) => void)[] = [];
  private readonly firstListeners: ((change: Change) => void)[] = [];
  private syncInFlight: Promise<boolean> | null = null;
  private syncQueued: Promise<boolean> | null = null;
  private syncedAt: Micros = 0 as Micros;
  /** Everything changed up to this moment is known here. */
  freshAsOf: Micros | null = null;

  constructor(private readonly options: WatchCacheOptions) {}

  get loaded(): boolean {
    return this.revision !== null;
  }

  onChange(listener: (change: Change) => void): void {
    this.listeners.push(listener);
  }

  /**
   * For what others conclude from: told of all that has come together before any other listener is told of the first of it. A
   * holder that took its block in the midst of a list found jobs there of which the chains had not heard yet, and never began them.
   */
  onChangeFirst(listener: (change: Change) => void): void {
    this.firstListeners.push(listener);
  }

  async run(): Promise<never> {
    for (;;) {
      const sent = this.options.clock.now();
      if (this.revision === null) await this.load();
      else {
        const good = await this.catchUp(this.revision, WATCH_TIMEOUT);
        if (!good) await sleep(this.options.clock, ms(150));
      }
      const gap = sent + this.options.watchInterval - this.options.clock.now();
      if (gap > 0) await sleep(this.options.clock, gap as Micros);
    }
  }

  /**
   * Resolves to true once the view holds all that was decided before the call. Calls made meanwhile share
   * the next request; the one under way may have been sent too early for them.
   */
  sync(): Promise<boolean> {
    if (this.syncQueued !== null) return this.syncQueued;
    const before = this.syncInFlight ?? Promise.resolve(true);
    const next = before
      .then(() => {
        // Hundreds of polls a second share few requests: without a pause they took the whole budget.
        const gap =
          this.syncedAt + this.options.syncInterval * (this.options.syncSlowdown?.() ?? 1) - this.options.clock.now();
        return gap > 0 ? sleep(this.options.clock, gap as Micros) : undefined;
      })
      .then(() => {
        this.syncedAt = this.options.clock.now();
        this.syncQueued = null;
        this.syncInFlight = next;
        return this.revision === null ? false : this.catchUp(this.revision, 0 as Micros);
      })
      .finally(() => {
        if (this.syncInFlight === next) this.syncInFlight = null;
      });
    this.syncQueued = next;
    return next;
  }

  private async load(): Promise<void> {
    const sent = this.options.clock.now();
    const reply = await this.options.store.list(this.options.prefix);
    if (reply.kind !== "ok") {
      await sleep(this.options.clock, ms(200));
      return;
    }
    const found = new Set(reply.value.entries.map((entry) => entry.key));
    this.revision = reply.value.revision;
    const changes: Change[] = [...this.entries.keys()]
      .filter((key) => !found.has(key))
      .map((key) => ({ kind: "delete", key, version: reply.value.revision }));
    for (const entry of reply.value.entries) {
      if (this.entries.get(entry.key)?.version !== entry.version) changes.push({ kind: "put", ...entry });
    }
    // All of it before anybody is told: a list comes in the order of the keys, and who takes a block over on
    // seeing its key needs the ranges that were written before.
    for (const change of changes) this.apply(change);
    this.freshAsOf = sent;
    this.notify(changes);
    this.options.log.info("state read", { entries: this.entries.size });
  }

  private async catchUp(from: Uint64, wait: Micros): Promise<boolean> {
    const sent = this.options.clock.now();
    const reply = await this.options.store.watch(this.options.prefix, from, wait);
    if (reply.kind === "missing") {
      this.revision = null;
      return false;
    }
    if (reply.kind !== "ok") return false;
    // A reload in between may have set the revision back to null: it brings everything itself.
    const known = this.revision;
    if (known === null) return false;
    // Two requests overlap; what the other one brought must not be undone by an older change.
    const changes = reply.value.changes.filter(({ version }) => version > known);
    if (reply.value.revision > known) this.revision = reply.value.revision;
    this.freshAsOf = Math.max(this.freshAsOf ?? 0, sent) as Micros;
    for (const change of changes) this.apply(change);
    this.notify(changes);
    return true;
  }

  private apply(change: Change): void {
    if (change.kind === "put") this.entries.set(change.key, change);
    else this.entries.delete(change.key);
  }

  private notify(changes: readonly Change[]): void {
    for (const change of changes) for (const listener of this.firstListeners) listener(change);
    for (const change of changes) for (const listener of this.listeners) listener(change);
  }
}
