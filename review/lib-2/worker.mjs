// Stand-in for a worker, after "Workers -> controller nodes" and "Controller nodes -> workers" in PROTOCOL-rainridge.md.
import http from "node:http";
import { call, serve } from "./http.mjs";

export class Worker {
  /**
   * info: { host, flavor, area, loaner, type }. fleet: { nodes: [address], labels, reportS, leaseS, jobs: Map, completed: Set,
   * runS(task), fetchS(job), onEvent(event) }.
   */
  constructor(info, fleet) {
    Object.assign(this, { info, fleet });
    this.tasks = new Map(); // "task#try" -> { task, try, phase, cause, job }
    this.tenure = 1;
    this.tick = 0;
    this.baton = 0;
    this.node = Math.floor(Math.random() * fleet.nodes.length);
    this.up = false;
    this.ended = false;
    this.cached = new Set();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.reporting = false;
    this.lastReportAt = -Infinity;
    this.stats = { reports: 0, accepted: 0, refused: {}, largest: 0, leaseEnds: 0, leaseEndsBy413: 0 };
  }

  async listen() {
    this.server = await serve((request) => this.handle(request));
    this.address = this.server.address;
    return this;
  }

  boot() {
    if (this.ended) return;
    this.up = true;
    this.renewedAt = performance.now();
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    this.scheduleReport(0);
  }

  end() {
    this.ended = true;
    this.up = false;
    clearInterval(this.leaseTimer);
    clearTimeout(this.reportTimer);
    for (const entry of this.tasks.values()) this.gone(entry, "machine gone");
    this.tasks.clear();
    this.agent.destroy();
    this.server.server.close();
    this.server.server.closeAllConnections();
  }

  /** A machine that hangs neither reads, sends nor executes, and may go on later; its lease ends all the same. */
  hang(on) {
    if (on) {
      this.resumed = new Promise((resolve) => {
        this.resume = resolve;
      });
      return;
    }
    this.resume?.();
    this.resumed = undefined;
  }

  event(kind, entry, more = {}) {
    this.fleet.onEvent?.({ at: performance.now(), kind, host: this.info.host, area: this.info.area, loaner: this.info.loaner, flavor: this.info.flavor, task: entry?.task, try: entry?.try, ...more });
  }

  gone(entry, why) {
    clearTimeout(entry.timer);
    if (entry.phase === "running") this.event("off", entry, { why });
  }

  checkLease() {
    if (!this.up || performance.now() - this.renewedAt <= this.fleet.leaseS * 1000) return;
    this.stats.leaseEnds += 1;
    // Each report since the last accepted answer was over 64 KiB, reached a controller and was refused for its size.
    if (this.sinceAccepted?.length >= 3 && this.sinceAccepted.every(({ status, error, bytes }) => bytes > 65_536 && (status === 413 || error === "ECONNRESET" || error === "EPIPE"))) this.stats.leaseEndsBy413 += 1;
    this.event("lease over", null, { tasks: this.tasks.size });
    for (const entry of this.tasks.values()) this.gone(entry, "lease over");
    this.tasks.clear();
    this.tenure += 1;
    this.tick = 0;
    this.renewedAt = performance.now();
    this.changed();
  }

  report() {
    this.tick += 1;
    const { host, flavor, area, loaner } = this.info;
    const shards = [...this.tasks.values()].map(({ task, try: attempt, phase, cause }) =>
      cause === undefined ? { shard: task, try: attempt, phase } : { shard: task, try: attempt, phase, cause },
    );
    return { host, addr: this.reachedAt ?? this.address, flavor, area, loaner, tenure: this.tenure, tick: this.tick, baton: this.baton, warningS: null, shards };
  }

  changed() {
    if (this.reporting) {
      this.changedWhileReporting = true;
      return;
    }
    const wait = Math.max(0, this.lastReportAt + 500 - performance.now());
    this.scheduleReport(wait);
  }

  scheduleReport(delay) {
    if (!this.up) return;
    const due = performance.now() + delay;
    if (this.reportDue !== undefined && this.reportDue <= due && this.reportTimer) return;
    clearTimeout(this.reportTimer);
    this.reportDue = due;
    this.reportTimer = setTimeout(() => {
      this.reportTimer = null;
      this.reportDue = undefined;
      void this.sendReport();
    }, delay);
  }

  async sendReport() {
    if (this.resumed) await this.resumed;
    if (!this.up || this.reporting) return;
    this.reporting = true;
    this.changedWhileReporting = false;
    const sentAt = performance.now();
    this.lastReportAt = sentAt;
    const tenure = this.tenure;
    const text = JSON.stringify(this.report());
    this.stats.reports += 1;
    this.stats.largest = Math.max(this.stats.largest, Buffer.byteLength(text));
    const node = this.node;
    let reply = await call(this.fleet.nodes[node], "POST", "/hello", text, { timeoutMs: 4_000, agent: this.agent });
    if (this.resumed) await this.resumed;
    // Whatever arrived while the machine hung is older than 4 s by then, or is read now.
    if (performance.now() - sentAt > 4_000) reply = { status: 0, body: null };
    this.reporting = false;
    if (!this.up) return;
    let next = this.fleet.reportS * 1000 * (0.75 + Math.random() * 0.5) - (performance.now() - sentAt);
    if (reply.status === 200 && reply.body !== null) {
      if (tenure === this.tenure && Number.isInteger(reply.body.baton) && reply.body.baton >= this.baton) {
        if (reply.body.baton > this.baton) {
          this.baton = reply.body.baton;
          this.changedWhileReporting = true;
        }
        this.renewedAt = sentAt;
        this.stats.accepted += 1;
        this.sinceAccepted = [];
        this.execute(reply.body.orders ?? []);
      }
    } else {
      (this.sinceAccepted ??= []).push({ status: reply.status, error: reply.error, bytes: Buffer.byteLength(text) });
      this.stats.refused[reply.status] = (this.stats.refused[reply.status] ?? 0) + 1;
      const steward = reply.status === 421 ? this.fleet.labels.indexOf(reply.body?.steward) : -1;
      this.agent.destroy();
      this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      if (steward >= 0 && steward !== node) {
        this.node = steward;
        next = Math.random() * 500;
      } else {
        this.node = (node + 1) % this.fleet.nodes.length;
        next = 1_000;
      }
      this.changedWhileReporting = false;
    }
    if (this.changedWhileReporting) next = Math.min(next, Math.max(0, sentAt + 500 - performance.now()));
    this.scheduleReport(Math.max(0, next));
  }

  execute(orders) {
    for (const order of orders) {
      const key = `${order.shard}#${order.try}`;
      const entry = this.tasks.get(key);
      if (order.verb === "launch" && entry === undefined) this.launch(order.shard, order.try, key);
      if (order.verb === "halt" && entry !== undefined && entry.phase !== "exited") this.exit(entry, "halted");
      if (order.verb === "forget" && entry?.phase === "exited") this.tasks.delete(key);
    }
  }

  launch(task, attempt, key) {
    const job = this.fleet.jobs.get(task.slice(0, task.lastIndexOf("/")));
    const entry = { task, try: attempt, phase: "pulling", job };
    this.tasks.set(key, entry);
    this.changed();
    const index = Number(task.slice(task.lastIndexOf("/") + 1));
    if (job === undefined || !(index < job.shards)) return this.exit(entry, "no_such");
    let cpus = 0;
    let ramGb = 0;
    for (const other of this.tasks.values()) {
      if (other === entry || other.phase === "exited") continue;
      if (other.task === task) return this.exit(entry, "in_use");
      cpus += other.job.cpus;
      ramGb += other.job.ramGb;
    }
    const { type } = this.info;
    if (cpus + job.cpus > type.cpus + 1e-6 || ramGb + job.ramGb > type.ramGb + 1e-6) return this.exit(entry, "full");
    const fetchMs = this.cached.has(job.bundle) ? 0 : (job.sizeGb / type.pullGbPerS) * 1000;
    entry.timer = setTimeout(async () => {
      if (this.resumed) await this.resumed;
      if (entry.phase !== "pulling" || ![...this.tasks.values()].includes(entry)) return;
      this.cached.add(job.bundle);
      entry.phase = "running";
      this.event("on", entry);
      this.changed();
      // A faulty machine fails every task that it starts; `failsAfterMs(index)` says when, null: it is not faulty.
      if (this.failsAfterMs) {
        entry.timer = setTimeout(() => this.exit(entry, "error"), this.failsAfterMs(index));
        return undefined;
      }
      // The result of a completed task is kept: started again, it exits with `done` as soon as it has its image.
      if (this.fleet.completed.has(task)) return this.exit(entry, "done");
      const runS = job.shape === "daemon" ? null : this.fleet.runS(job, index);
      if (runS !== null) entry.timer = setTimeout(() => this.complete(entry), runS * 1000);
      return undefined;
    }, fetchMs);
  }

  async complete(entry) {
    if (this.resumed) await this.resumed;
    if (entry.phase === "running" && [...this.tasks.values()].includes(entry)) this.exit(entry, "done");
  }

  exit(entry, cause) {
    this.gone(entry, cause);
    entry.phase = "exited";
    entry.cause = cause;
    if (cause === "done") {
      this.fleet.completed.add(entry.task);
      this.event("done", entry);
    }
    this.changed();
  }

  async handle({ method, target, body }) {
    if (this.resumed) await this.resumed;
    if (!this.up) return null;
    if (method === "GET" && target === "/status") return { status: 200, body: this.report() };
    if (method !== "POST" || target !== "/orders") return { status: 404, body: {} };
    const { baton, tenure, orders } = JSON.parse(body);
    if (!Number.isInteger(baton) || !Number.isInteger(tenure)) return { status: 400, body: {} };
    if (baton < this.baton || tenure !== this.tenure) return { status: 409, body: this.report() };
    if (baton > this.baton) {
      this.baton = baton;
      const now = performance.now();
      if (now - (this.tokenChangeAt ?? -Infinity) >= this.fleet.leaseS * 500) {
        this.tokenChangeAt = now;
        this.changed();
      }
    }
    this.execute(orders ?? []);
    return { status: 200, body: this.report() };
  }
}
