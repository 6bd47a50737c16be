// Stand-in for the state service, after "Controller nodes -> state service" in PROTOCOL-rainridge.md.
import { serve } from "./http.mjs";

/** Token bucket that allows a burst of one second's worth. */
class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = performance.now();
  }
  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

export class Store {
  /** limits: { rps, writeRps, valueKb, txnOps }. latencyMs: time of each answer. */
  constructor(limits, latencyMs = 4) {
    this.limits = limits;
    this.latencyMs = latencyMs;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.writeRps);
    this.entries = new Map(); // key -> { value, stamp, hold }
    this.grants = new Map(); // hold -> { ttlMs, timer }
    this.log = []; // { key, remove, value, stamp }
    this.epoch = 0;
    this.nextHold = 1;
    this.waiting = new Set(); // functions called after each change
    this.out = false;
    this.counts = { requests: 0, tooMany: 0, tooManyWrites: 0, refused: 0, badRequest: 0, conflicts: 0 };
    /** Called with { method, target, from } before a request; may return "refuse" (503), or a promise to wait for. */
    this.intercept = null;
    /** Called with { method, target, body, reply } before a reply is sent; false: no reply is ever sent. */
    this.onReply = null;
  }

  async listen(port = 0) {
    this.server = await serve((request) => this.handle(request), port);
    this.address = this.server.address;
  }

  async handle(request) {
    this.counts.requests += 1;
    await new Promise((resolve) => setTimeout(resolve, this.latencyMs));
    if (this.intercept) {
      const verdict = await this.intercept(request);
      if (verdict === "refuse") return { status: 503, body: { error: "unavailable" } };
    }
    if (this.out) return { status: 503, body: { error: "unavailable" } };
    if (!this.requests.take(1)) {
      this.counts.tooMany += 1;
      return { status: 429, body: { error: "too many requests" } };
    }
    const reply = await this.answer(request);
    if (this.onReply && (await this.onReply({ ...request, reply })) === false) return null;
    return reply;
  }

  answer({ method, target, body }) {
    const url = new URL(target, "http://store");
    const path = url.pathname;
    if (method === "GET" && path === "/kv") return this.list(url.searchParams);
    if (method === "GET" && path.startsWith("/kv/")) return this.get(decodeURIComponent(path.slice(4)));
    if (method === "POST" && path === "/txn") return this.transact(body);
    if (method === "POST" && path === "/grants") return this.grant(JSON.parse(body));
    const touch = /^\/grants\/(\d+)\/touch$/.exec(path);
    if (method === "POST" && touch) return this.touch(Number(touch[1]));
    const one = /^\/grants\/(\d+)$/.exec(path);
    if (method === "DELETE" && one) return this.revoke(Number(one[1]));
    if (method === "GET" && path === "/watch") return this.watch(url.searchParams);
    return { status: 400, body: { error: "malformed" } };
  }

  get(key) {
    const entry = this.entries.get(key);
    if (entry === undefined) return { status: 404, body: { epoch: this.epoch } };
    const { value, stamp, hold } = entry;
    return { status: 200, body: hold === undefined ? { k: key, value, stamp } : { k: key, value, stamp, hold } };
  }

  list(params) {
    const under = params.get("under") ?? "";
    const from = params.get("from") ?? "";
    const page = Math.min(1000, Number(params.get("page") ?? 1000));
    const keys = [...this.entries.keys()].filter((key) => key.startsWith(under) && key > from).sort();
    const entries = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, stamp } = this.entries.get(key);
      bytes += JSON.stringify(value).length + key.length + 40;
      if (entries.length >= page || bytes > 512 * 1024) break;
      entries.push({ k: key, value, stamp });
    }
    return { status: 200, body: { entries, more: entries.length < keys.length, epoch: this.epoch } };
  }

  transact(body) {
    const { limits } = this;
    const bad = (error) => {
      this.counts.badRequest += 1;
      return { status: 400, body: { error } };
    };
    let request;
    try {
      request = JSON.parse(body);
    } catch {
      return bad("malformed");
    }
    const conditions = request.if ?? [];
    const writes = request.writes ?? [];
    if (Buffer.byteLength(body) > 65_536) return bad("too large");
    if (writes.length > limits.txnOps || conditions.length > 4 * limits.txnOps) return bad("too many operations");
    for (const write of writes)
      if (write.set !== undefined && Buffer.byteLength(JSON.stringify(write.value)) > limits.valueKb * 1024)
        return bad("value too large");
    for (const write of writes)
      if (write.set !== undefined && write.hold !== undefined && !this.grants.has(write.hold))
        return bad("no such lease");
    if (!this.writes.take(writes.length)) {
      this.counts.tooManyWrites += 1;
      return { status: 429, body: { error: "too many writes" } };
    }
    const failed = conditions.filter(({ k, stamp }) => (this.entries.get(k)?.stamp ?? 0) !== stamp).map(({ k }) => k);
    if (failed.length > 0) {
      this.counts.conflicts += 1;
      return { status: 409, body: { failed, epoch: this.epoch } };
    }
    if (writes.length > 0) this.apply(writes);
    return { status: 200, body: { epoch: this.epoch } };
  }

  apply(writes) {
    this.epoch += 1;
    for (const write of writes) {
      if (write.set !== undefined) {
        this.entries.set(write.set, { value: write.value, stamp: this.epoch, hold: write.hold });
        this.log.push({ key: write.set, value: write.value, stamp: this.epoch });
      } else if (this.entries.delete(write.remove)) this.log.push({ key: write.remove, remove: true, stamp: this.epoch });
    }
    if (this.log.length > 10_000) this.log.splice(0, this.log.length - 10_000);
    for (const wake of [...this.waiting]) wake();
  }

  grant({ ttlMs }) {
    const hold = this.nextHold++;
    this.grants.set(hold, { ttlMs, endsAt: performance.now() + ttlMs });
    this.schedule(hold);
    return { status: 200, body: { hold } };
  }

  schedule(hold) {
    const grant = this.grants.get(hold);
    clearTimeout(grant.timer);
    grant.timer = setTimeout(() => {
      if (!this.grants.has(hold)) return;
      const left = grant.endsAt - performance.now();
      if (left > 0 || this.out) this.schedule(hold);
      else this.end(hold);
    }, Math.max(1, Math.ceil(grant.endsAt - performance.now()) + 5));
  }

  touch(hold) {
    const grant = this.grants.get(hold);
    if (grant === undefined || performance.now() > grant.endsAt + 100) {
      if (grant !== undefined) this.end(hold);
      return { status: 404, body: { error: "no such lease" } };
    }
    grant.endsAt = performance.now() + grant.ttlMs;
    this.schedule(hold);
    return { status: 200, body: { hold } };
  }

  revoke(hold) {
    if (!this.grants.has(hold)) return { status: 404, body: { error: "no such lease" } };
    this.end(hold);
    return { status: 200, body: {} };
  }

  end(hold) {
    clearTimeout(this.grants.get(hold)?.timer);
    this.grants.delete(hold);
    const removed = [...this.entries].filter(([, entry]) => entry.hold === hold).map(([key]) => ({ remove: key }));
    if (removed.length > 0) this.apply(removed);
  }

  /** An outage: every request gets 503, open watches stay open; afterwards every lease has its full time again. */
  setOutage(on) {
    this.out = on;
    if (on) return;
    for (const [hold, grant] of this.grants) {
      grant.endsAt = performance.now() + grant.ttlMs;
      this.schedule(hold);
    }
    for (const wake of [...this.waiting]) wake();
  }

  watch(params) {
    const under = params.get("under") ?? "";
    const from = Number(params.get("from"));
    const waitMs = Math.min(60_000, Number(params.get("waitMs") ?? 0));
    const first = this.log[0];
    if (first !== undefined && this.log.length >= 10_000 && first.stamp > from + 1)
      return { status: 410, body: { error: "too old" } };
    const changes = () => this.log.filter(({ key, stamp }) => stamp > from && key.startsWith(under));
    const reply = () => ({
      status: 200,
      body: {
        epoch: this.epoch,
        log: changes().map(({ key, remove, value, stamp }) => (remove ? { remove: key, stamp } : { set: key, value, stamp })),
      },
    });
    if (changes().length > 0 || waitMs === 0) return reply();
    return new Promise((resolve) => {
      const finish = () => {
        if (this.out) return;
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve(reply());
      };
      const timer = setTimeout(() => {
        timedOut = true;
        finish();
      }, waitMs);
      let timedOut = false;
      const wake = () => {
        if (timedOut || changes().length > 0) finish();
      };
      this.waiting.add(wake);
    });
  }
}
