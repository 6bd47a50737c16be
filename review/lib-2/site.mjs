// A small deployment on loopback: three controllers as processes of their own, stand-ins in this process.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "./cloud.mjs";
import { call, sleep } from "./http.mjs";
import { Proxy } from "./proxy.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");

/** A free port below the usual range of outgoing connections, so that none of those takes it before its controller does. */
const freePort = async (taken) => {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const port = 12_000 + Math.floor(Math.random() * 19_000);
    if (taken.includes(port)) continue;
    const free = await new Promise((done) => {
      const server = createServer();
      server.on("error", () => done(false));
      server.listen(port, "127.0.0.1", () => server.close(() => done(true)));
    });
    if (free) return port;
  }
  throw new Error("no free port");
};

/** The command of the deploy file, as a list of words. */
const runCommand = () => {
  const line = readFileSync(join(ROOT, "deploy/service.toml"), "utf8").split("\n").find((text) => text.startsWith("run ="));
  return JSON.parse(line.slice(line.indexOf("=") + 1)).split(" ");
};

/** Settings of the two small deployments, from their site files. */
export const SITES = {
  "peticio-muhely": {
    areas: ["csepel", "debrecen", "csepel"],
    zones: ["csepel", "debrecen", "gyor"],
    clockErrorMs: 5,
    teams: [{ name: "kampany" }, { name: "adatcsapat" }],
    workers: { reportS: 3, leaseS: 36, cancelS: 66 },
    state: { rps: 150, writeRps: 30, valueKb: 8, txnOps: 24 },
    cloud: { rps: 4, listLagS: 5 },
    quota: { cpuShare: 0.425, memMb: 242, connections: 3500 },
    flavors: [{ sku: "nagygep", cpus: 32, accelerators: 0, ramGb: 128, localGb: 60, pullGbPerS: 0.6, price: 1.52, spotPrice: 0.61, bootS: 15, areas: ["csepel", "debrecen", "gyor"] }],
    capacity: [["nagygep", "csepel", 5, 10], ["nagygep", "debrecen", 5, 10], ["nagygep", "gyor", 3, 7]],
  },
  "kokan-denchi": {
    areas: ["kumamoto", "hakata", "kumamoto"],
    zones: ["kumamoto", "hakata"],
    clockErrorMs: 1000,
    teams: Array.from({ length: 16 }, (_, i) => ({ name: `unyou-han-${i + 1}`, cpus: 16, cpusMax: 48 })),
    workers: { reportS: 3, leaseS: 22, cancelS: 52 },
    state: { rps: 150, writeRps: 60, valueKb: 8, txnOps: 12 },
    cloud: { rps: 10, listLagS: 4 },
    quota: { cpuShare: 0.34, memMb: 306, connections: 1800 },
    flavors: [
      { sku: "kogata", cpus: 4, accelerators: 0, ramGb: 32, localGb: 40, pullGbPerS: 1, price: 0.17, spotPrice: 0.05, bootS: 35, areas: ["hakata"] },
      { sku: "chuugata", cpus: 16, accelerators: 0, ramGb: 32, localGb: 40, pullGbPerS: 0.4, price: 0.51, spotPrice: 0.14, bootS: 15, areas: ["kumamoto", "hakata"] },
    ],
    capacity: [["kogata", "hakata", 19, 9], ["chuugata", "kumamoto", 1, 1], ["chuugata", "hakata", 1, 1]],
  },
};

export class Site {
  /** options: { site, folder, logLevel, runS(job, index), boot(), storeProxy, teams, quota }. */
  constructor(options) {
    this.options = options;
    this.spec = { ...SITES[options.site], ...options.override };
    this.recordFile = join(options.folder, "record.txt");
    writeFileSync(this.recordFile, "");
    this.started = performance.now();
    this.controllers = [];
    this.children = [];
    this.jobs = new Map();
    this.events = [];
    this.listeners = [];
    this.workers = [];
    this.exits = [];
  }

  now() {
    return (performance.now() - this.started) / 1000;
  }

  note(text, data) {
    const line = `${this.now().toFixed(3)} ${text}${data === undefined ? "" : ` ${JSON.stringify(data)}`}\n`;
    appendFileSync(this.recordFile, line);
    if (process.env.ECHO) process.stdout.write(line);
  }

  async start() {
    const { spec, options } = this;
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.store = new Store(spec.state);
    await this.store.listen();
    const ports = [];
    for (let i = 0; i < 6; i += 1) ports.push(await freePort(ports));
    this.nodes = ports.slice(0, 3).map((port) => `127.0.0.1:${port}`);
    this.mesh = ports.slice(3).map((port) => `127.0.0.1:${port}`);
    this.labels = [0, 1, 2].map((i) => `ridgehost-${i}`);
    const fleet = {
      nodes: this.nodes,
      labels: this.labels,
      reportS: spec.workers.reportS,
      leaseS: spec.workers.leaseS,
      jobs: this.jobs,
      completed: new Set(),
      runS: options.runS ?? (() => 10),
      onEvent: (event) => this.onEvent(event),
    };
    this.fleet = fleet;
    this.cloud = new Cloud({
      flavors: spec.flavors,
      capacity: spec.capacity.flatMap(([flavor, area, count, spot]) => [
        { flavor, area, loaner: false, count },
        { flavor, area, loaner: true, count: spot },
      ]),
      listLagS: spec.cloud.listLagS,
      rps: spec.cloud.rps,
      boot: options.boot ?? (() => 2),
      startWorker: async (info) => {
        const worker = await new Worker(info, fleet).listen();
        this.workers.push(worker);
        if (options.workerProxies) await this.addWorkerProxies(worker);
        return worker;
      },
    });
    this.cloud.onDelete = (name) => this.note("machine deleted", name);
    await this.cloud.listen();
    for (const [flavor, area, loaner, count] of options.machinesUp ?? [])
      for (let i = 0; i < count; i += 1) {
        const pool = this.cloud.capacity.find((entry) => entry.flavor === flavor && entry.area === area && entry.loaner === loaner);
        pool.used += 1;
        await this.cloud.create(flavor, area, loaner, pool, 0);
      }
    for (let i = 0; i < 3; i += 1) this.writeSettings(i);
    for (let i = 0; i < 3; i += 1) this.startController(i);
    const ready = await this.waitFor("all nodes ready", 25, async () => {
      const ups = await Promise.all(this.nodes.map((node) => call(node, "GET", "/up", null, { timeoutMs: 1000 })));
      return ups.every(({ status }) => status === 200);
    });
    if (!ready) throw new Error("the controllers did not become ready");
  }

  /** Puts proxies between one worker and the controllers, in both directions. */
  async addWorkerProxies(worker) {
    const proxies = [];
    for (let i = 0; i < 3; i += 1) proxies.push(await new Proxy(this.nodes[i]).listen());
    const inbound = await new Proxy(worker.address).listen();
    worker.fleet = { ...this.fleet, nodes: proxies.map(({ address }) => address) };
    worker.reachedAt = inbound.address;
    worker.proxies = [...proxies, inbound];
  }

  onEvent(event) {
    this.events.push(event);
    for (const listener of this.listeners) listener(event);
    if (!this.options.quietEvents)
      this.note(`worker ${event.host} ${event.kind}`, { task: event.task, try: event.try, area: event.area, why: event.why, tasks: event.tasks });
  }

  /** Addresses of outside services for one controller; a case may put proxies between. */
  stateAddressFor(index) {
    return this.options.stateAddressFor?.(index, this) ?? this.store.address;
  }

  writeSettings(index) {
    const { spec } = this;
    const siblings = [0, 1, 2]
      .filter((other) => other !== index)
      .map((other) => `[[siblings]]\nlabel = "${this.labels[other]}"\narea = "${spec.areas[other]}"\nendpoint = "${this.options.meshAddressFor?.(index, other, this) ?? this.mesh[other]}"\n`);
    const number = (value) => (Number.isInteger(value) ? value.toFixed(1) : String(value));
    const teams = spec.teams.map(
      ({ name, cpus = 0, cpusMax = 0 }) =>
        `[[deployment.teams]]\nname = "${name}"\ncpus = ${number(cpus)}\ncpus_max = ${number(cpusMax)}\ngpus = 0.0\ngpus_max = 0.0\n`,
    );
    const text = `label = "${this.labels[index]}"
area = "${spec.areas[index]}"
client_listen = "${this.nodes[index]}"
mesh_addr = "${this.mesh[index]}"

${siblings.join("\n")}
[outside]
cloud = "${this.cloud.address}"
state = "${this.stateAddressFor(index)}"

[deployment]
count = 3
zones = [${spec.zones.map((zone) => `"${zone}"`).join(", ")}]
clock_error_ms = ${number(spec.clockErrorMs)}

${teams.join("\n")}
[deployment.workers]
report_s = ${number(spec.workers.reportS)}
lease_s = ${number(spec.workers.leaseS)}
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = ${number(spec.workers.cancelS)}

[deployment.state]
rps = ${number(spec.state.rps)}
write_rps = ${number(spec.state.writeRps)}
value_kb = ${number(spec.state.valueKb)}
txn_ops = ${spec.state.txnOps}

[deployment.cloud]
rps = ${number(spec.cloud.rps)}
list_lag_s = ${number(spec.cloud.listLagS)}

[deployment.quota]
cpu_share = ${spec.quota.cpuShare}
mem_mb = ${number(spec.quota.memMb)}
max_connections = ${spec.quota.connections}
`;
    writeFileSync(join(this.folder, `settings-${index}.toml`), text);
  }

  startController(index) {
    const [program, ...args] = runCommand();
    const log = openSync(join(this.folder, `log-${index}.txt`), "a");
    const child = spawn(program, [...args, join(this.folder, `settings-${index}.toml`)], {
      cwd: ROOT,
      // The program's own switch: it ends with its standard input, so also if this script is killed.
      stdio: ["pipe", "ignore", log],
      env: { ...process.env, LOG_LEVEL: this.options.logLevel ?? "info", RAINRIDGE_END_WITH_STDIN: "1" },
    });
    this.note("controller started", { index, pid: child.pid });
    child.stdin.on("error", () => undefined);
    child.on("error", (error) => this.note("controller could not be started", String(error)));
    child.on("exit", (code, signal) => {
      this.note("controller ended", { index, code, signal, expected: child.expected === true });
      this.exits.push({ at: this.now(), index, code, signal, expected: child.expected === true });
      if (this.controllers[index] === child) this.controllers[index] = null;
      if (this.options.restartAfterMs !== undefined && !this.stopping)
        setTimeout(() => !this.stopping && this.startController(index), this.options.restartAfterMs);
    });
    this.controllers[index] = child;
    this.children.push(child);
    return child;
  }

  kill(index) {
    const child = this.controllers[index];
    if (child === null) return;
    child.expected = true;
    this.note("kill", { index });
    child.kill("SIGKILL");
  }

  pause(index) {
    this.note("stop", { index });
    this.controllers[index]?.kill("SIGSTOP");
  }

  resume(index) {
    this.note("continue", { index });
    this.controllers[index]?.kill("SIGCONT");
  }

  /** Index of the controller that leads, by the record in the store; -1: none. */
  leader() {
    return this.labels.indexOf(this.store.entries.get("c/block/0")?.value?.label);
  }

  /** What the machines hold and how their reports were answered, for the record. */
  machinesNow() {
    const up = this.workers.filter((worker) => worker.up);
    const answers = {};
    for (const { stats } of up)
      for (const [status, count] of Object.entries({ 200: stats.accepted, ...stats.refused })) answers[status] = (answers[status] ?? 0) + count;
    return { machines: up.length, tasksListed: up.reduce((sum, { tasks }) => sum + tasks.size, 0), reportsAnswered: answers };
  }

  logOf(index) {
    return readFileSync(join(this.folder, `log-${index}.txt`), "utf8");
  }

  async waitFor(what, seconds, check) {
    const until = performance.now() + seconds * 1000;
    while (performance.now() < until) {
      if (await check()) {
        this.note("reached", what);
        return true;
      }
      await sleep(100);
    }
    this.note("not reached", what);
    return false;
  }

  async stop() {
    this.stopping = true;
    for (const child of this.controllers) {
      if (!child) continue;
      child.expected = true;
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    for (const worker of this.workers) if (!worker.ended) worker.end();
    this.cloud?.close();
    await sleep(200);
    if (!process.env.KEEP) rmSync(this.folder, { recursive: true, force: true });
    else this.note("folder kept", this.folder);
  }

  /** A job of the page's form. */
  job(ref, more = {}) {
    return {
      ref, jobclass: "alairas-ellenorzes", owner: this.spec.teams[0].name, shape: "sweep", rank: "high", shards: 4, cpus: 4, accelerators: 0,
      ramGb: 4, bundle: "img-1", sizeGb: 0.3, flavors: null, area: null, together: false, spread: false, loaner: true, guessS: 10,
      saveEveryS: 0, saveTakesS: 0, dueS: null, ...more,
    };
  }

  /** Submits as a user does: uploads the description, repeats the request for up to 60 s. */
  async submit(job, node = Math.floor(Math.random() * 3)) {
    this.jobs.set(job.ref, job);
    const until = performance.now() + 60_000;
    for (let n = node; performance.now() < until; n += 1) {
      const sentAt = this.now();
      const reply = await call(this.nodes[n % 3], "POST", "/v2/runs", job, { timeoutMs: 5_000 });
      this.note("submit", { ref: job.ref, node: n % 3, sentAt: Number(sentAt.toFixed(3)), status: reply.status, body: reply.body });
      if ([200, 201, 400, 422].includes(reply.status)) return reply;
      await sleep(Math.max(1000, 1000 * Math.min(30, Number(reply.headers?.["retry-after"] ?? 1))));
    }
    return { status: 0 };
  }

  async poll(ref, node = Math.floor(Math.random() * 3), quiet = false) {
    const reply = await call(this.nodes[node], "GET", `/v2/runs/${ref}`, null, { timeoutMs: 2_000 });
    if (!quiet) this.note("poll", { ref, node, status: reply.status, body: reply.body, error: reply.error });
    return reply;
  }

  async abort(ref, node = Math.floor(Math.random() * 3)) {
    const until = performance.now() + 60_000;
    for (let n = node; performance.now() < until; n += 1) {
      const reply = await call(this.nodes[n % 3], "POST", `/v2/runs/${ref}/abort`, null, { timeoutMs: 5_000 });
      this.note("abort", { ref, node: n % 3, status: reply.status, body: reply.body });
      if (reply.status === 200) return reply;
      await sleep(1000);
    }
    return { status: 0 };
  }
}
