// Stand-in for the cloud, after "Controller nodes -> cloud" in PROTOCOL-rainridge.md.
import { serve } from "./http.mjs";

export class Cloud {
  /** catalog: the flavors; capacity: [{ flavor, area, loaner, count }]; listLagS; boot(): seconds; startWorker(info). */
  constructor({ flavors, capacity, listLagS, rps, boot, startWorker, latencyMs = 20 }) {
    Object.assign(this, { flavors, listLagS, rps, boot, startWorker, latencyMs });
    this.capacity = capacity.map((entry) => ({ ...entry, used: 0 }));
    this.hosts = new Map(); // name -> { ref, addr, flavor, area, loaner, phase, at, worker }
    this.asks = new Map();
    this.next = 1;
    this.snapshots = [];
    this.tokens = 2 * rps;
    this.at = performance.now();
    this.onDelete = null;
    this.events = [];
  }

  async listen(port = 0) {
    this.server = await serve((request) => this.handle(request), port);
    this.address = this.server.address;
    this.snapshotTimer = setInterval(() => this.snapshot(), 250);
    this.snapshot();
  }

  close() {
    clearInterval(this.snapshotTimer);
  }

  snapshot() {
    const at = performance.now();
    const hosts = [...this.hosts.values()].map(({ ref, addr, flavor, area, loaner, phase, at: since }) => ({
      ref, addr, flavor, area, loaner, phase, heldS: (at - since) / 1000,
    }));
    hosts.sort((a, b) => (a.ref < b.ref ? -1 : 1));
    this.snapshots.push({ at, hosts });
    while (this.snapshots.length > 1 && this.snapshots[1].at < at - 4 * this.listLagS * 1000) this.snapshots.shift();
  }

  async handle({ method, target, body }) {
    await new Promise((resolve) => setTimeout(resolve, this.latencyMs));
    const now = performance.now();
    this.tokens = Math.min(2 * this.rps, this.tokens + ((now - this.at) / 1000) * this.rps);
    this.at = now;
    if (this.tokens < 1) return { status: 429, body: { error: "too many requests" } };
    this.tokens -= 1;
    const url = new URL(target, "http://cloud");
    if (method === "GET" && url.pathname === "/catalog") return { status: 200, body: { flavors: this.flavors } };
    if (method === "GET" && url.pathname === "/hosts") return this.list(url.searchParams);
    if (method === "POST" && url.pathname === "/hosts") return this.rent(JSON.parse(body));
    if (method === "POST" && url.pathname === "/hosts/delete") return this.remove(JSON.parse(body).hosts);
    return { status: 400, body: { error: "malformed" } };
  }

  list(params) {
    const from = params.get("from") ?? "";
    const page = Math.min(500, Number(params.get("page") ?? 500));
    const asOf = performance.now() - this.listLagS * 1000;
    const snapshot = this.snapshots.findLast(({ at }) => at <= asOf) ?? { hosts: [] };
    const hosts = snapshot.hosts.filter(({ ref }) => ref > from);
    return { status: 200, body: { hosts: hosts.slice(0, page), more: hosts.length > page } };
  }

  /** Rents up to `number` machines. */
  async rent({ ask, flavor, area, loaner, number }) {
    if (this.asks.has(ask)) return { status: 200, body: { hosts: this.asks.get(ask) } };
    const pool = this.capacity.find((entry) => entry.flavor === flavor && entry.area === area && entry.loaner === loaner);
    const count = Math.min(number, 50, pool === undefined ? 0 : pool.count - pool.used);
    if (count <= 0) return { status: 503, body: { error: "no capacity" } };
    pool.used += count;
    const names = [];
    for (let i = 0; i < count; i += 1) names.push(await this.create(flavor, area, loaner, pool));
    this.asks.set(ask, names);
    return { status: 200, body: { hosts: names } };
  }

  async create(flavor, area, loaner, pool, bootS = this.boot()) {
    const ref = `n-${String(this.next++).padStart(6, "0")}`;
    const type = this.flavors.find(({ sku }) => sku === flavor);
    const host = { ref, addr: "", flavor, area, loaner, phase: "starting", at: performance.now(), pool, worker: null };
    this.hosts.set(ref, host);
    host.worker = await this.startWorker({ host: ref, flavor, area, loaner, type });
    host.addr = host.worker.reachedAt ?? host.worker.address;
    setTimeout(() => {
      if (!this.hosts.has(ref)) return;
      host.phase = "running";
      host.worker.boot();
    }, bootS * 1000);
    return ref;
  }

  remove(names) {
    for (const name of names) {
      const host = this.hosts.get(name);
      if (host === undefined) continue;
      this.hosts.delete(name);
      if (host.pool) host.pool.used -= 1;
      host.worker.end();
      this.onDelete?.(name);
    }
    return { status: 200, body: {} };
  }
}
