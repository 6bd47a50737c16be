// Stand-ins for the cloud and the workers, by PROTOCOL "Controller nodes -> cloud" and "Workers -> controller nodes".
import { call, newAgent, serveJson, sleep } from "./http.mjs";

const REPORT_TIMEOUT_MS = 4_000;
const MIN_REPORT_GAP_MS = 500;

/** One worker. Its connections to controllers go to `controllers[i].address`, which may be a proxy's. */
export class Worker {
  tenure = 1;
  tick = 0;
  baton = 0;
  tasks = new Map();
  images = new Set();
  controllerIndex = 0;
  inFlight = false;
  lastReportAt = -1_000;
  lastTokenReportAt = Number.NEGATIVE_INFINITY;
  changed = false;
  ended = false;
  timer = null;

  /** `controllers`: `{ label, address }`; `jobOf(ref)`: what users uploaded, or undefined. */
  constructor(record, info, type, { controllers, reportS, leaseS, jobOf }) {
    Object.assign(this, { record, info, type, controllers, reportS, leaseS, jobOf });
    this.leaseFrom = performance.now();
    this.agent = newAgent();
  }

  async start(first = 0) {
    this.controllerIndex = first;
    this.server = await serveJson((request) => this.handle(request));
    this.addr = this.server.address;
    this.leaseTimer = setInterval(() => this.checkLease(), 100);
    this.schedule(Math.random() * 500);
  }

  async end() {
    this.ended = true;
    clearTimeout(this.timer);
    clearInterval(this.leaseTimer);
    for (const task of this.tasks.values()) clearTimeout(task.timer);
    this.tasks.clear();
    this.agent.destroy();
    await this.server.close();
  }

  log(text) {
    this.record.write(`${this.info.ref}: ${text}`);
  }

  checkLease() {
    if (performance.now() - this.leaseFrom <= this.leaseS * 1_000) return;
    for (const [key, task] of this.tasks) {
      clearTimeout(task.timer);
      if (task.phase !== "exited") this.log(`lease over, ${key} killed`);
    }
    this.tasks.clear();
    this.tenure += 1;
    this.leaseFrom = performance.now();
    this.reportSoon();
  }

  schedule(ms) {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => void this.report(), ms);
  }

  nextInterval() {
    return this.reportS * 1_000 * (0.75 + Math.random() / 2);
  }

  /** A report because of a change, at most once per half second. */
  reportSoon() {
    this.changed = true;
    if (this.inFlight || this.ended) return;
    this.schedule(Math.max(0, this.lastReportAt + MIN_REPORT_GAP_MS - performance.now()));
  }

  status() {
    this.tick += 1;
    const { ref, type, zone, spot } = this.info;
    return {
      host: ref,
      addr: this.addr,
      flavor: type,
      area: zone,
      loaner: spot,
      tenure: this.tenure,
      tick: this.tick,
      baton: this.baton,
      warningS: null,
      shards: [...this.tasks.values()].map(({ shard, attempt, phase, cause }) => ({
        shard,
        try: attempt,
        phase,
        ...(cause === null ? {} : { cause }),
      })),
    };
  }

  async report() {
    if (this.inFlight || this.ended) return;
    this.inFlight = true;
    this.changed = false;
    const sentAt = performance.now();
    this.lastReportAt = sentAt;
    const { tenure } = this;
    const controller = this.controllers[this.controllerIndex];
    const body = this.status();
    const { status, body: reply, error } = await call(
      this.agent,
      controller.address,
      "POST",
      "/hello",
      body,
      REPORT_TIMEOUT_MS,
    );
    this.inFlight = false;
    if (this.ended) return;
    const shards = body.shards.map(({ shard, phase }) => `${shard} ${phase}`).join(", ");
    const answer =
      status === 200 ? `baton ${reply.baton}, orders ${JSON.stringify(reply.orders)}` : JSON.stringify(reply ?? error);
    this.log(
      `report ${tenure}/${body.tick} to ${controller.label}, baton ${body.baton} [${shards}]: ${status} ${answer}`,
    );
    if (status === 421) {
      const at = this.controllers.findIndex(({ label }) => label === reply?.steward);
      if (at < 0 || at === this.controllerIndex) this.tryNext();
      else {
        this.controllerIndex = at;
        this.schedule(Math.random() * 500);
      }
      return;
    }
    if (status !== 200) {
      this.tryNext();
      return;
    }
    if (typeof reply.baton === "number" && reply.baton >= this.baton && tenure === this.tenure) {
      this.seeToken(reply.baton);
      this.leaseFrom = Math.max(this.leaseFrom, sentAt);
      for (const order of reply.orders) this.carryOut(order);
    }
    if (this.changed) this.reportSoon();
    else this.schedule(Math.max(0, sentAt + this.nextInterval() - performance.now()));
  }

  tryNext() {
    this.controllerIndex = (this.controllerIndex + 1) % this.controllers.length;
    this.schedule(1_000);
  }

  seeToken(token) {
    if (token <= this.baton) return;
    this.baton = token;
    if (performance.now() - this.lastTokenReportAt < (this.leaseS / 2) * 1_000) return;
    this.lastTokenReportAt = performance.now();
    this.reportSoon();
  }

  handle({ method, target, body }) {
    if (target === "/status") return { status: 200, body: this.status() };
    if (target !== "/orders" || method !== "POST") return { status: 404, body: {} };
    const { baton, tenure, orders } = JSON.parse(body);
    if (baton === undefined || tenure === undefined) return { status: 400, body: {} };
    const accepted = baton >= this.baton && tenure === this.tenure;
    this.log(`orders under ${baton}/${tenure}: ${JSON.stringify(orders)}${accepted ? "" : ", refused"}`);
    if (!accepted) return { status: 409, body: this.status() };
    this.seeToken(baton);
    for (const order of orders) this.carryOut(order);
    return { status: 200, body: this.status() };
  }

  carryOut({ verb, shard, try: attempt }) {
    const key = `${shard}#${attempt}`;
    const task = this.tasks.get(key);
    if (verb === "forget") {
      if (task?.phase === "exited") this.tasks.delete(key);
    } else if (verb === "halt") {
      if (task !== undefined && task.phase !== "exited") this.exit(task, "halted");
    } else if (verb === "launch" && task === undefined) this.launch(shard, attempt, key);
  }

  launch(shard, attempt, key) {
    const job = this.jobOf(shard.slice(0, shard.lastIndexOf("/")));
    const active = [...this.tasks.values()].filter(({ phase }) => phase !== "exited");
    const task = { shard, attempt, job, phase: "pulling", cause: null, timer: null };
    this.tasks.set(key, task);
    this.reportSoon();
    if (job === undefined) return this.exit(task, "no_such");
    if (active.some((other) => other.shard === shard)) return this.exit(task, "in_use");
    const used = active.reduce((sum, other) => sum + other.job.cpus, 0);
    if (used + job.cpus > this.type.cpus + 1e-6) return this.exit(task, "full");
    const pullMs = this.images.has(job.bundle) ? 1 : (job.sizeGb / this.type.pullGbPerS) * 1_000;
    task.timer = setTimeout(() => {
      this.images.add(job.bundle);
      task.phase = "running";
      this.log(`${key} runs`);
      this.reportSoon();
      if (job.shape !== "daemon") task.timer = setTimeout(() => this.exit(task, "done"), job.guessS * 1_000);
    }, pullMs);
  }

  exit(task, cause) {
    clearTimeout(task.timer);
    task.phase = "exited";
    task.cause = cause;
    this.log(`${task.shard}#${task.attempt} exited: ${cause}`);
    this.reportSoon();
  }
}

/** The cloud: `types` as in the catalogue, `room(type, zone, spot)` tells how many machines there may be at once. */
export class Cloud {
  machines = new Map();
  asks = new Map();
  next = 1;

  constructor(record, { types, room, listLagS, startWorker, latencyMs }) {
    Object.assign(this, { record, types, room, listLagS, startWorker, latencyMs });
  }

  async start() {
    this.server = await serveJson((request) => this.handle(request));
    return this.server.address;
  }

  async close() {
    for (const machine of this.machines.values()) {
      clearTimeout(machine.timer);
      if (machine.worker !== null && machine.goneAt === null) await machine.worker.end();
    }
    await this.server.close();
  }

  async handle({ method, target, body }) {
    await sleep(this.latencyMs);
    if (target === "/catalog") return { status: 200, body: { flavors: this.types } };
    if (target === "/hosts/delete" && method === "POST") return this.remove(JSON.parse(body).hosts);
    if (target === "/hosts" && method === "POST") return this.rent(JSON.parse(body));
    if (target.startsWith("/hosts?")) return this.list(new URL(target, "http://cloud"));
    return { status: 400, body: {} };
  }

  count(type, zone, spot) {
    return [...this.machines.values()].filter(
      ({ info, goneAt }) => goneAt === null && info.type === type && info.zone === zone && info.spot === spot,
    ).length;
  }

  /** Adds a machine that is up after `bootMs`. */
  async add(type, zone, spot, bootMs) {
    const ref = `n-${String(this.next).padStart(6, "0")}`;
    this.next += 1;
    const info = { ref, type: type.sku, zone, spot };
    const machine = { info, since: performance.now(), upAt: null, goneAt: null, worker: null, timer: null };
    this.machines.set(ref, machine);
    const boot = async () => {
      machine.worker = await this.startWorker(info, type);
      machine.upAt = performance.now();
    };
    if (bootMs === 0) await boot();
    else machine.timer = setTimeout(() => void boot(), bootMs);
    return ref;
  }

  async rent({ ask, flavor, area, loaner, number }) {
    const granted = this.asks.get(ask);
    if (granted !== undefined) return { status: 200, body: { hosts: granted } };
    const type = this.types.find(({ sku }) => sku === flavor);
    if (type === undefined || !type.areas.includes(area)) return { status: 400, body: {} };
    const room = this.room(flavor, area, loaner) - this.count(flavor, area, loaner);
    if (room <= 0) return { status: 503, body: { error: "no capacity" } };
    const hosts = [];
    for (let at = 0; at < Math.min(room, number, 50); at += 1)
      hosts.push(await this.add(type, area, loaner, type.bootS * 1_000));
    this.asks.set(ask, hosts);
    this.record.write(`cloud: ${ask}: ${hosts.join(", ")}`);
    return { status: 200, body: { hosts } };
  }

  async remove(names) {
    for (const name of names) {
      const machine = this.machines.get(name);
      if (machine === undefined || machine.goneAt !== null) continue;
      machine.goneAt = performance.now();
      clearTimeout(machine.timer);
      if (machine.worker !== null) await machine.worker.end();
      this.record.write(`cloud: ${name} deleted`);
    }
    return { status: 200, body: {} };
  }

  list(url) {
    const from = url.searchParams.get("from") ?? "";
    const page = Math.min(500, Number(url.searchParams.get("page") ?? 500));
    const at = performance.now() - this.listLagS * 1_000;
    const listed = [...this.machines.entries()].filter(
      ([name, { since, goneAt }]) => name > from && since <= at && (goneAt === null || goneAt > at),
    );
    const hosts = listed.slice(0, page).map(([ref, { info, since, upAt, worker }]) => ({
      ref,
      addr: worker?.addr ?? null,
      flavor: info.type,
      area: info.zone,
      loaner: info.spot,
      phase: upAt !== null && upAt <= at ? "running" : "starting",
      heldS: (at - since) / 1_000,
    }));
    return { status: 200, body: { hosts, more: listed.length > page } };
  }
}
