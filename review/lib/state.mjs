// Stand-in for the state service, by PROTOCOL "Controller nodes -> state service".
import { serveJson, sleep } from "./http.mjs";

const LOG_LIMIT = 10_000;
const PAGE_ITEMS = 1_000;
const PAGE_BYTES = 512 * 1_024;

/** A token bucket that holds one second's worth. */
class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = performance.now();
  }

  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.at) / 1_000) * this.rate);
    this.at = now;
    this.tokens -= count;
    if (this.tokens >= 0) return true;
    this.tokens += count;
    return false;
  }
}

const prefixOf = (url) => url.searchParams.get("under") ?? "";

/** The store. `serveFor(node)` opens a port for one controller, so that its requests are known by their port. */
export class StateService {
  items = new Map();
  epoch = 0;
  log = [];
  leases = new Map();
  nextLease = 1;
  watches = new Set();
  servers = [];
  /** Called before a request is executed; resolves to its delay in ms beyond the usual latency. */
  delayOf = () => 0;

  constructor({ rps, writeRps, valueKb, txnOps, latencyMs }) {
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    this.valueBytes = valueKb * 1_024;
    this.txnOps = txnOps;
    this.latencyMs = latencyMs;
    this.timer = setInterval(() => this.expireLeases(), 20);
  }

  async serveFor(node) {
    const server = await serveJson((request) => this.handle(node, request));
    this.servers.push(server);
    return server.address;
  }

  async close() {
    clearInterval(this.timer);
    await Promise.all(this.servers.map((server) => server.close()));
  }

  async handle(node, { method, target, body }) {
    if (!this.requests.take(1)) return { status: 429, body: {} };
    const url = new URL(target, "http://state");
    const path = url.pathname;
    await sleep(this.latencyMs / 2 + (await this.delayOf(node, method, url)));
    const reply = await this.execute(method, url, path, body);
    await sleep(this.latencyMs / 2);
    return reply;
  }

  execute(method, url, path, body) {
    if (path === "/watch") return this.watch(url);
    if (path === "/txn" && method === "POST") return this.transact(JSON.parse(body));
    if (path === "/kv") return this.list(url);
    if (path.startsWith("/kv/")) return this.get(decodeURIComponent(path.slice(4)));
    if (path === "/grants" && method === "POST") return this.grant(JSON.parse(body).ttlMs);
    const lease = /^\/grants\/(\d+)(\/touch)?$/.exec(path);
    if (lease !== null) return this.useLease(Number(lease[1]), method, lease[2] !== undefined);
    return { status: 400, body: {} };
  }

  get(key) {
    const item = this.items.get(key);
    if (item === undefined) return { status: 404, body: { epoch: this.epoch } };
    return { status: 200, body: { k: key, ...item } };
  }

  list(url) {
    const under = prefixOf(url);
    const from = url.searchParams.get("from") ?? "";
    const page = Math.min(PAGE_ITEMS, Number(url.searchParams.get("page") ?? PAGE_ITEMS));
    const keys = [...this.items.keys()].filter((key) => key.startsWith(under) && key > from).sort();
    const entries = [];
    let bytes = 0;
    for (const key of keys) {
      const item = this.items.get(key);
      bytes += key.length + JSON.stringify(item.value).length + 40;
      if (entries.length >= page || (bytes > PAGE_BYTES && entries.length > 0)) break;
      entries.push({ k: key, ...item });
    }
    return { status: 200, body: { entries, more: entries.length < keys.length, epoch: this.epoch } };
  }

  transact({ if: conditions = [], writes = [] }) {
    if (writes.length > this.txnOps || conditions.length > 4 * this.txnOps) return { status: 400, body: {} };
    if (writes.length > 0 && !this.writes.take(writes.length)) return { status: 429, body: {} };
    for (const write of writes) {
      if (write.set === undefined) continue;
      if (Buffer.byteLength(JSON.stringify(write.value)) > this.valueBytes)
        return { status: 400, body: { error: "value too large" } };
      if (write.hold !== undefined && !this.leases.has(write.hold))
        return { status: 400, body: { error: "no such lease" } };
    }
    const failed = conditions.filter(({ k, stamp }) => (this.items.get(k)?.stamp ?? 0) !== stamp).map(({ k }) => k);
    if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } };
    if (writes.length > 0) this.epoch += 1;
    for (const write of writes) {
      if (write.set === undefined) this.remove(write.remove);
      else {
        const hold = write.hold === undefined ? {} : { hold: write.hold };
        this.items.set(write.set, { value: write.value, stamp: this.epoch, ...hold });
        this.log.push({ set: write.set, value: write.value, stamp: this.epoch });
      }
    }
    this.notify();
    return { status: 200, body: { epoch: this.epoch } };
  }

  remove(key) {
    if (this.items.delete(key)) this.log.push({ remove: key, stamp: this.epoch });
  }

  notify() {
    if (this.log.length > 2 * LOG_LIMIT) this.log = this.log.slice(-LOG_LIMIT);
    for (const watch of [...this.watches]) watch();
  }

  grant(ttlMs) {
    const id = this.nextLease;
    this.nextLease += 1;
    this.leases.set(id, { ttlMs, until: performance.now() + ttlMs });
    return { status: 200, body: { hold: id } };
  }

  useLease(id, method, touch) {
    const lease = this.leases.get(id);
    if (lease === undefined) return { status: 404, body: {} };
    if (method === "DELETE") this.endLease(id);
    else if (touch) lease.until = performance.now() + lease.ttlMs;
    return { status: 200, body: { hold: id } };
  }

  expireLeases() {
    const now = performance.now();
    for (const [id, { until }] of this.leases) if (until < now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.items].filter(([, item]) => item.hold === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.epoch += 1;
    for (const key of keys) this.remove(key);
    this.notify();
  }

  watch(url) {
    const under = prefixOf(url);
    const from = Number(url.searchParams.get("from"));
    const waitMs = Math.min(60_000, Number(url.searchParams.get("waitMs") ?? 0));
    const answer = () => {
      const kept = this.log.slice(-LOG_LIMIT);
      if (this.log.length > LOG_LIMIT && from + 1 < kept[0].stamp) return { status: 410, body: {} };
      const log = kept.filter((entry) => entry.stamp > from && (entry.set ?? entry.remove).startsWith(under));
      return log.length === 0 ? null : { status: 200, body: { epoch: this.epoch, log } };
    };
    const now = answer();
    if (now !== null || waitMs === 0) return now ?? { status: 200, body: { epoch: this.epoch, log: [] } };
    return new Promise((resolve) => {
      const finish = (reply) => {
        this.watches.delete(check);
        clearTimeout(timer);
        resolve(reply);
      };
      const check = () => {
        const reply = answer();
        if (reply !== null) finish(reply);
      };
      const timer = setTimeout(() => finish({ status: 200, body: { epoch: this.epoch, log: [] } }), waitMs);
      this.watches.add(check);
    });
  }
}
