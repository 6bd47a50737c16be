import type { HttpRequest, HttpResponse } from "../transport/http.js";
import { json } from "./network.js";
import type { Random } from "./random.js";
import { S, type Timeline } from "./simulation.js";

/** A stored key: `stamp` is the revision of its last change, `hold` the id of its lease. */
interface Item {
  value: unknown;
  stamp: number;
  hold: number | null;
}

/** State of a key after a change. */
export interface KeyChange {
  readonly key: string;
  /** Undefined if the key was removed. */
  readonly value: unknown;
  readonly revision: number;
}

type LogEntry = { set: string; value: unknown; stamp: number } | { remove: string; stamp: number };

interface Transaction {
  readonly if: readonly { readonly k: string; readonly stamp: number }[];
  readonly writes: readonly (
    | { readonly set: string; readonly value: unknown; readonly hold?: number }
    | { readonly remove: string }
  )[];
}

/** Emulates the key-value store: transactions, leases, watches and limits, with injected faults. */
export class StateService {
  private readonly items = new Map<string, Item>();
  private epoch = 0;
  private log: LogEntry[] = [];
  private readonly leases = new Map<number, { ttl: number; until: number }>();
  private nextLease = 1;
  /** Pending watches; `respond` returns true once the watch has been answered. */
  private pendingWatches: { respond: () => boolean }[] = [];
  private outageUntil = 0;
  private readonly refusedUntil = new Map<string, number>();
  private requestBacklog = 0;
  /** Number of requests received, including those refused by the rate limit. */
  received = 0;
  private writeBacklog = 0;
  /** Number of writes requested, including those of refused transactions. */
  requestedWrites = 0;
  /** Number of transactions that were applied without a response to the writer. */
  appliedWithoutResponse = 0;
  /** Called with the written keys after each applied transaction; a test may crash a controller there. */
  onApplied: (keys: readonly string[]) => void = () => undefined;
  /** Called for each transaction that was answered: applied, or rejected because a condition failed. */
  onTransaction: (body: string) => void = () => undefined;
  /** Called for each key change in revision order, including removals by lease expiry. */
  onChange: ((change: KeyChange) => void) | null = null;
  /** Share of transactions that are applied, at once or seconds later, without a response. */
  unanswered = 0;
  /** Minimum and maximum delay of unanswered transactions; null: half at once, the others up to 20 s late. */
  unansweredDelayRange: readonly [number, number] | null = null;

  /** `logLimit`: number of past changes that a watch can start from. */
  constructor(
    private readonly timeline: Timeline,
    private readonly random: Random,
    private limits: { rps: number; writeRps: number; txnOps: number; valueBytes: number },
    private readonly logLimit = 10_000,
  ) {
    this.drainBacklogs();
  }

  /** Makes the service unavailable to all clients. */
  outage(forUs: number): void {
    this.outageUntil = Math.max(this.outageUntil, this.timeline.now + forUs);
    // Every lease starts its full time to live again after the outage.
    for (const hold of this.leases.values()) hold.until = this.outageUntil + hold.ttl;
  }

  /** A share of transactions gets no response and is applied 2 to 12 s late, after newer ones of the same writer. */
  lateWrites(share: number, forUs: number): void {
    this.leaveUnanswered(share, [2 * S, 12 * S], forUs);
  }

  private leaveUnanswered(share: number, delayRange: readonly [number, number], forUs: number): void {
    this.unanswered = share;
    this.unansweredDelayRange = delayRange;
    this.timeline.after(forUs, () => {
      this.unanswered = 0;
      this.unansweredDelayRange = null;
    });
  }

  /** A share of transactions is applied at once, but its response is lost. */
  loseAnswers(share: number, forUs: number): void {
    this.leaveUnanswered(share, [0, 0], forUs);
  }

  /** Refuses all requests of one client; its leases keep running. */
  refuse(from: string, forUs: number): void {
    this.refusedUntil.set(from, this.timeline.now + forUs);
  }

  /** Lowers the limits at once; values already stored that exceed them stay readable. */
  lower(limits: Partial<{ rps: number; writeRps: number; txnOps: number; valueBytes: number }>): void {
    this.limits = { ...this.limits, ...limits };
  }

  /** Number of transactions refused because of their size. */
  tooLarge = 0;

  /** Stores a value directly, bypassing limits; for records that exist before the run. */
  put(key: string, value: unknown): void {
    this.epoch += 1;
    this.items.set(key, { value, stamp: this.epoch, hold: null });
    this.recordSet(key, value);
    this.notifyWatches();
  }

  value(key: string): unknown {
    return this.items.get(key)?.value;
  }

  keys(under: string): readonly string[] {
    return [...this.items.keys()].filter((key) => key.startsWith(under));
  }

  private drainBacklogs(): void {
    this.requestBacklog = Math.max(0, this.requestBacklog - this.limits.rps / 10);
    this.writeBacklog = Math.max(0, this.writeBacklog - this.limits.writeRps / 10);
    for (const [id, hold] of this.leases) if (hold.until < this.timeline.now) this.expireLease(id);
    this.timeline.after(S / 10, () => this.drainBacklogs());
  }

  private expireLease(id: number): void {
    this.leases.delete(id);
    const keys = [...this.items].filter(([, item]) => item.hold === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.epoch += 1;
    for (const key of keys) this.remove(key);
    this.notifyWatches();
  }

  private remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.log.push({ remove: key, stamp: this.epoch });
    this.onChange?.({ key, value: undefined, revision: this.epoch });
  }

  private recordSet(key: string, value: unknown): void {
    this.log.push({ set: key, value, stamp: this.epoch });
    this.onChange?.({ key, value, revision: this.epoch });
  }

  private notifyWatches(): void {
    // Truncated only when twice the size: copying ten thousand entries at each change took most of a run's time.
    if (this.log.length > 2 * this.logLimit) this.log = this.log.slice(-this.logLimit);
    this.pendingWatches = this.pendingWatches.filter((watch) => !watch.respond());
  }

  private isUnavailable(from: string): boolean {
    return this.outageUntil > this.timeline.now || (this.refusedUntil.get(from) ?? 0) > this.timeline.now;
  }

  serve = async (request: HttpRequest, from: string): Promise<HttpResponse> => {
    if (this.isUnavailable(from)) return json(503, {});
    this.requestBacklog += 1;
    this.received += 1;
    if (this.requestBacklog > this.limits.rps) return json(429, {});
    const url = new URL(request.target, "http://s");
    const path = url.pathname;
    if (path === "/watch") return this.watch(url, from);
    await new Promise<void>((resolve) => this.timeline.after(this.random.chance(0.01) ? 200_000 : 2_000, resolve));
    if (request.method === "POST" && path === "/txn") return this.transaction(request.body, from);
    if (path === "/kv") return this.list(url);
    if (path.startsWith("/kv/")) return this.get(decodeURIComponent(path.slice(4)));
    return this.serveLeases(request, path);
  };

  private get(key: string): HttpResponse {
    const item = this.items.get(key);
    return item === undefined
      ? json(404, { epoch: this.epoch })
      : json(200, { k: key, value: item.value, stamp: item.stamp, ...(item.hold === null ? {} : { hold: item.hold }) });
  }

  private list(url: URL): HttpResponse {
    const under = url.searchParams.get("under") ?? "";
    const from = url.searchParams.get("from") ?? "";
    const page = Math.min(1_000, Number(url.searchParams.get("page") ?? 1_000));
    const keys = [...this.items.keys()].filter((key) => key.startsWith(under) && key > from).sort();
    const entries = keys.slice(0, page).map((key) => ({ k: key, ...this.items.get(key) }));
    return json(200, { entries, more: keys.length > page, epoch: this.epoch });
  }

  private async transaction(body: string, from: string): Promise<HttpResponse> {
    if (this.random.chance(this.unanswered)) {
      // Applied at once or late, without a response.
      const [minDelay, maxDelay] = this.unansweredDelayRange ?? [0, this.random.chance(0.5) ? 0 : 20 * S];
      const delay = this.random.int(minDelay, maxDelay);
      this.timeline.after(delay, () => {
        if (!this.isUnavailable(from) && this.apply(body).status === 200) this.appliedWithoutResponse += 1;
      });
      return new Promise(() => undefined);
    }
    const response = this.apply(body);
    if (response.status === 200 || response.status === 409) this.onTransaction(body);
    return response;
  }

  private apply(body: string): HttpResponse {
    const { if: conditions, writes } = JSON.parse(body) as Transaction;
    if (writes.length > this.limits.txnOps || conditions.length > 4 * this.limits.txnOps) {
      this.tooLarge += 1;
      return json(400, {});
    }
    this.writeBacklog += writes.length;
    this.requestedWrites += writes.length;
    if (this.writeBacklog > this.limits.writeRps) return json(429, {});
    for (const write of writes) {
      if (!("set" in write)) continue;
      if (JSON.stringify(write.value).length > this.limits.valueBytes) {
        this.tooLarge += 1;
        return json(400, { error: "value too large" });
      }
      if (write.hold !== undefined && !this.leases.has(write.hold)) return json(400, { error: "no such lease" });
    }
    const failed = conditions.filter(({ k, stamp }) => this.stampOf(k) !== stamp).map(({ k }) => k);
    if (failed.length > 0) return json(409, { failed, epoch: this.epoch });
    if (writes.length > 0) this.epoch += 1;
    for (const write of writes) {
      if ("set" in write) {
        this.items.set(write.set, { value: write.value, stamp: this.epoch, hold: write.hold ?? null });
        this.recordSet(write.set, write.value);
      } else this.remove(write.remove);
    }
    this.notifyWatches();
    this.onApplied(writes.map((write) => ("set" in write ? write.set : write.remove)));
    return json(200, { epoch: this.epoch });
  }

  /** Keys that the transaction would change if it were applied (again) now; empty if it would fail. */
  lateEffect(body: string): readonly string[] {
    const { if: conditions, writes } = JSON.parse(body) as Transaction;
    if (conditions.some(({ k, stamp }) => this.stampOf(k) !== stamp)) return [];
    if (writes.some((write) => "set" in write && write.hold !== undefined && !this.leases.has(write.hold))) return [];
    return writes.flatMap((write) => {
      if ("remove" in write) return this.items.has(write.remove) ? [write.remove] : [];
      return JSON.stringify(this.items.get(write.set)?.value) === JSON.stringify(write.value) ? [] : [write.set];
    });
  }

  private stampOf(key: string): number {
    return this.items.get(key)?.stamp ?? 0;
  }

  private serveLeases(request: HttpRequest, path: string): HttpResponse {
    if (path === "/grants") {
      const ttl = (JSON.parse(request.body) as { ttlMs: number }).ttlMs * 1_000;
      const id = this.nextLease++;
      this.leases.set(id, { ttl, until: this.timeline.now + ttl });
      return json(200, { hold: id });
    }
    const id = Number(/^\/grants\/(\d+)/.exec(path)?.[1]);
    const hold = this.leases.get(id);
    if (hold === undefined) return json(404, {});
    if (request.method === "DELETE") this.expireLease(id);
    else hold.until = this.timeline.now + hold.ttl;
    return json(200, { hold: id });
  }

  private watch(url: URL, from: string): Promise<HttpResponse> {
    const under = url.searchParams.get("under") ?? "";
    const since = Number(url.searchParams.get("from"));
    const until = this.timeline.now + Number(url.searchParams.get("waitMs") ?? 0) * 1_000;
    return new Promise((resolve) => {
      const respond = (): boolean => {
        if (this.isUnavailable(from)) return false;
        const first = Math.max(0, this.log.length - this.logLimit);
        if (this.log.length > this.logLimit && since + 1 < (this.log[first]?.stamp ?? 0)) {
          resolve(json(410, {}));
          return true;
        }
        let begin = this.log.length;
        while (begin > first && (this.log[begin - 1]?.stamp ?? 0) > since) begin -= 1;
        const log = this.log
          .slice(begin)
          .filter((entry) => ("set" in entry ? entry.set : entry.remove).startsWith(under));
        if (log.length === 0 && this.timeline.now < until) return false;
        resolve(json(200, { epoch: this.epoch, log }));
        return true;
      };
      if (respond()) return;
      this.pendingWatches.push({ respond });
      const poll = (): void => {
        // During an outage the watch stays open beyond its time-out.
        if (this.isUnavailable(from)) this.timeline.after(S / 2, poll);
        else respond();
      };
      this.timeline.at(until, poll);
    });
  }
}
