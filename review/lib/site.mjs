// A site of real controller processes beside the stand-ins: settings, processes, users, and the record of what happened.
import { spawn } from "node:child_process";
import { appendFileSync, closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, newAgent, sleep } from "./http.mjs";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const TROUBLE = process.env.TROUBLE !== "0";

/** Thrown where the case could not run, as opposed to a rule that was broken. */
export class CannotRun extends Error {}

/** Writes what happens to `record.txt`, a line an event, with the seconds since the start. */
export class Record {
  startedAt = performance.now();

  constructor(folder) {
    this.path = join(folder, "record.txt");
    writeFileSync(this.path, `${TROUBLE ? "with" : "without"} the disruption\n`);
  }

  get now() {
    return (performance.now() - this.startedAt) / 1_000;
  }

  write(text) {
    appendFileSync(this.path, `${this.now.toFixed(3).padStart(8)}  ${text}\n`);
  }
}

/** A free port below those that the system gives to outgoing connections, which could take it before its controller does. */
const freePort = async () => {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const port = 15_000 + Math.floor(Math.random() * 15_000);
    const free = await new Promise((resolve) => {
      const server = createServer();
      server.on("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
    if (free) return port;
  }
  throw new CannotRun("no free port");
};

/** The program and its arguments from the deploy file; the settings file's path is appended. */
const runCommand = () => {
  const match = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, "deploy", "service.toml"), "utf8"));
  if (match === null) throw new CannotRun("deploy/service.toml: no run line");
  return match[1].split(" ");
};

/** One controller, as a process of its own. */
export class Controller {
  process = null;

  constructor(record, folder, label, address, settings) {
    this.record = record;
    this.label = label;
    this.address = address;
    this.settingsPath = join(folder, `${label}.toml`);
    this.logPath = join(folder, `${label}.log`);
    writeFileSync(this.settingsPath, settings);
  }

  start() {
    const [program, ...args] = runCommand();
    const log = openSync(this.logPath, "a");
    // The pipe closes when this process ends for any reason, and the controller then ends by itself (operations/service.md).
    const child = spawn(program, [...args, this.settingsPath], {
      cwd: ROOT,
      stdio: ["pipe", "ignore", log],
      env: { ...process.env, RAINRIDGE_END_WITH_STDIN: "1" },
    });
    child.stdin.on("error", () => undefined);
    closeSync(log);
    child.on("exit", (code, signal) => {
      if (this.process !== child) return;
      this.record.write(`${this.label} ended by itself: ${code ?? signal}`);
      this.process = null;
    });
    child.on("error", (error) => this.record.write(`${this.label} not started: ${error.message}`));
    this.process = child;
    this.record.write(`${this.label} started, process ${child.pid}`);
  }

  async kill() {
    const child = this.process;
    if (child === null) return;
    this.process = null;
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await ended;
    this.record.write(`${this.label} killed`);
  }

  logged(event) {
    return readFileSync(this.logPath, "utf8")
      .split("\n")
      .some((line) => line.includes(`"msg":"${event}"`));
  }
}

/** The controllers of a case and what users ask of them. `KEEP=1` keeps the folder with settings and logs. */
export class Site {
  controllers = [];
  closers = [];
  folder = mkdtempSync(join(tmpdir(), "review-"));
  agent = newAgent();

  constructor(caseFolder) {
    this.record = new Record(caseFolder);
  }

  /**
   * Writes the controllers' settings; starts none. `stateOf(node)`: the state service's address for that controller;
   * `deployment`: the settings' text from `[deployment]` on, after `count`.
   */
  async addControllers(count, zoneOf, stateOf, cloud, deployment) {
    const nodes = [];
    for (let at = 0; at < count; at += 1)
      nodes.push({ label: `ridgehost-${at}`, client: await freePort(), mesh: await freePort() });
    for (const [at, node] of nodes.entries()) {
      const siblings = nodes
        .map((other, index) => ({ other, index }))
        .filter(({ index }) => index !== at)
        .map(
          ({ other, index }) =>
            `[[siblings]]\nlabel = "${other.label}"\narea = "${zoneOf(index)}"\nendpoint = "127.0.0.1:${other.mesh}"\n`,
        );
      const settings = `label = "${node.label}"
area = "${zoneOf(at)}"
client_listen = "127.0.0.1:${node.client}"
mesh_addr = "127.0.0.1:${node.mesh}"

${siblings.join("\n")}
[outside]
cloud = "${cloud}"
state = "${await stateOf(at)}"

[deployment]
count = ${count}
${deployment}`;
      this.controllers.push(
        new Controller(this.record, this.folder, node.label, `127.0.0.1:${node.client}`, settings),
      );
    }
  }

  /** Waits until all controllers answer their health check. */
  async untilReady(seconds = 15) {
    const until = performance.now() + seconds * 1_000;
    for (const { address, label } of this.controllers) {
      for (;;) {
        const { status } = await call(this.agent, address, "GET", "/up", null, 1_000);
        if (status === 200) break;
        if (performance.now() > until) throw new CannotRun(`${label} is not ready after ${seconds} s`);
        await sleep(50);
      }
    }
    this.record.write("all controllers are ready");
  }

  /** One request of a user, on the record unless `quiet`. */
  async request(controller, method, target, body = null, { timeoutMs = 5_000, quiet = false } = {}) {
    const reply = await call(this.agent, controller.address, method, target, body, timeoutMs);
    const ref = body?.ref === undefined ? "" : ` ${body.ref}`;
    const answer = reply.status === 0 ? reply.error : `${reply.status} ${JSON.stringify(reply.body)}`;
    if (!quiet) this.record.write(`user -> ${controller.label}: ${method} ${target}${ref}: ${answer}`);
    return reply;
  }

  /** Repeats a submission as a user does until it is accepted; the repeats go to the controllers in turn. */
  async submit(job, first = 0, quiet = false) {
    const until = performance.now() + 60_000;
    for (let at = first; performance.now() < until; at += 1) {
      const controller = this.controllers[at % this.controllers.length];
      const { status } = await this.request(controller, "POST", "/v2/runs", job, { quiet });
      if (status === 200 || status === 201) return;
      if (status === 400 || status === 422) throw new CannotRun(`${job.ref}: ${status}`);
      await sleep(1_000);
    }
    throw new CannotRun(`${job.ref} was not accepted within 60 s`);
  }

  /** Repeats an abort until it is answered with a phase; returns the phase. */
  async abort(ref, first = 0) {
    const until = performance.now() + 60_000;
    for (let at = first; performance.now() < until; at += 1) {
      const controller = this.controllers[at % this.controllers.length];
      const { status, body } = await this.request(controller, "POST", `/v2/runs/${ref}/abort`);
      if (status === 200) return body.phase;
      await sleep(1_000);
    }
    throw new CannotRun(`${ref}: the abort was not answered within 60 s`);
  }

  /** Ends all processes at once and removes the folder, where the case ends before its time. */
  abandon() {
    for (const controller of this.controllers) controller.process?.kill("SIGKILL");
    rmSync(this.folder, { recursive: true, force: true });
  }

  async end() {
    for (const controller of this.controllers) await controller.kill();
    for (const close of this.closers) await close();
    this.agent.destroy();
    if (process.env.KEEP !== "1") rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case: `play` returns a sentence that tells how the rule was broken, or null. Never returns. */
export const runCase = async (caseFolder, play) => {
  const site = new Site(caseFolder);
  const watchdog = setTimeout(async () => {
    site.record.write("result: could not run (over 118 s)");
    site.abandon();
    process.exit(2);
  }, 118_000);
  for (const signal of ["SIGINT", "SIGTERM"])
    process.on(signal, () => {
      site.abandon();
      process.exit(2);
    });
  process.on("uncaughtException", (error) => {
    site.record.write(`result: could not run: ${error.stack}`);
    site.abandon();
    process.exit(2);
  });
  let status = 2;
  let result = "";
  try {
    const broken = await play(site);
    status = broken === null ? 0 : 1;
    result = broken === null ? "the rule held" : `the rule was broken: ${broken}`;
  } catch (error) {
    result = `could not run: ${error instanceof CannotRun ? error.message : error.stack}`;
  }
  site.record.write(`result: ${result}`);
  console.log(result);
  await site.end();
  clearTimeout(watchdog);
  process.exit(status);
};
