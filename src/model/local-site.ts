import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { OperatorOptions } from "../settings/options.js";
import { decodeJobRecord } from "../storage/job-records.js";
import { jobKey } from "../storage/keys.js";
import { ms } from "../transport/clock.js";
import { CloudService, fixedCapacity, RELIABLE_BOOTS } from "./cloud-service.js";
import { type Behaviour, GroundTruth } from "./ground-truth.js";
import { jobBehaviour } from "./job-behaviour.js";
import { Loopback, PortError, RealTime } from "./loopback.js";
import type { MachineObserver } from "./machine-observer.js";
import { NamedRandom, Random } from "./random.js";
import { S } from "./simulation.js";
import { type Addresses, labelOf, type SiteSpec, settingsText } from "./site-spec.js";
import { StateService } from "./state-service.js";
import { PLAIN_USERS, type Submission, type UserObserver, Users } from "./users.js";
import { Worker, type WorkerEnvironment } from "./worker.js";

/** Configuration of a site on real sockets. */
export interface LocalSetup {
  readonly spec: SiteSpec;
  readonly options: OperatorOptions;
  readonly seed: number;
  /** First of the consecutive ports; controllers use the lowest ones. */
  readonly port: number;
  /** Factor by which emulated tasks run faster than specified. */
  readonly speed: number;
  /** Whether every boot completes within the usual spread; otherwise some fail, or complete late or early. */
  readonly evenBoots: boolean;
  /** Path of the program, which is started as a controller with `serve`. */
  readonly program: string;
  readonly watch: (timeline: RealTime) => { readonly witness: MachineObserver; readonly hearing: UserObserver };
  readonly onError: (what: string) => void;
}

/** Makes `serve` exit when its standard input ends. */
const END_WITH_STDIN = "RAINRIDGE_END_WITH_STDIN";
/** More than one, since the port of an ended machine is not reused for a while. */
const PORTS_PER_MACHINE = 3;
const MIN_PORTS = 48;
const START_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 50;
const RESTART_DELAY_MS = 1_000;

const loopback = (port: number): string => `127.0.0.1:${port}`;

/** Checks that a port is free, since a controller's own process would report a port in use only in its log. */
const checkPortFree = (port: number): Promise<void> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", (error: NodeJS.ErrnoException) => {
      reject(
        new PortError(`${loopback(port)}: ${error.code === "EADDRINUSE" ? "port in use" : (error.code ?? "failed")}`),
      );
    });
    server.listen(port, "127.0.0.1", () => server.close(() => resolve()));
  });

const sleep = (time: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, time));

/**
 * A site on real sockets of this machine: the controllers run as separate processes of the program, while key-value
 * store, cloud, workers and users are emulated in this process.
 */
export class LocalSite {
  readonly truth = new GroundTruth();
  readonly timeline: RealTime;
  readonly addresses: Addresses;
  readonly folder: string;
  readonly state: StateService;
  readonly cloud: CloudService;
  readonly users: Users;
  private readonly children: (ChildProcess | null)[] = [];
  private stopped = false;
  private readonly watch: { readonly witness: MachineObserver; readonly hearing: UserObserver };

  private constructor(
    private readonly setup: LocalSetup,
    private readonly net: Loopback,
    addresses: Addresses,
  ) {
    const { spec, seed } = setup;
    this.addresses = addresses;
    this.timeline = new RealTime();
    this.watch = setup.watch(this.timeline);
    this.folder = mkdtempSync(join(tmpdir(), "rainridge-"));
    const random = new Random(seed);
    const { rps, writeRps, txnOps, valueKb } = spec.state;
    this.state = new StateService(this.timeline, random, { rps, writeRps, txnOps, valueBytes: valueKb * 1_024 });
    net.add({ address: addresses.state, serve: (request, from) => this.state.serve(request, from), state: "up" });
    this.truth.lookUp = (job) => this.behaviourFromRecord(job);
    const dependencies: WorkerEnvironment = {
      timeline: this.timeline,
      net,
      random,
      namedRandom: new NamedRandom(seed),
      witness: this.watch.witness,
      truth: this.truth,
      controllers: addresses.controllers,
      controllerLabels: spec.controllers.map((_, at) => labelOf(at)),
      times: spec.workers,
    };
    this.cloud = new CloudService(
      this.timeline,
      random,
      dependencies.namedRandom,
      spec,
      (info, type) => new Worker(dependencies, info, type),
      this.watch.witness,
      fixedCapacity(spec.capacity),
    );
    if (setup.evenBoots) this.cloud.boots = RELIABLE_BOOTS;
    net.add({ address: addresses.cloud, serve: (request) => this.cloud.serve(request), state: "up" });
    this.users = new Users(this.timeline, net, random, addresses.controllers, this.watch.hearing, PLAIN_USERS);
  }

  /** Binds the ports and starts the site; resolves when all controllers are ready for requests. */
  static async start(setup: LocalSetup): Promise<LocalSite> {
    const { spec, port } = setup;
    const count = spec.controllers.length;
    const addressesFrom = (from: number): string[] =>
      Array.from({ length: count }, (_, at) => loopback(port + from + at));
    const addresses: Addresses = {
      controllers: addressesFrom(0),
      mesh: addressesFrom(count),
      state: loopback(port + 2 * count),
      cloud: loopback(port + 2 * count + 1),
    };
    for (let at = 0; at < 2 * count; at += 1) await checkPortFree(port + at);
    const machines = spec.capacity.reduce((sum, entry) => sum + entry.count, 0);
    const ports = Math.max(MIN_PORTS, PORTS_PER_MACHINE * machines);
    const net = await Loopback.open([addresses.state, addresses.cloud], ports, (error) => setup.onError(String(error)));
    const site = new LocalSite(setup, net, addresses);
    try {
      spec.controllers.forEach((_, at) => {
        site.startController(at);
      });
      await site.waitUntilReady();
    } catch (error) {
      await site.stop();
      throw error;
    }
    return site;
  }

  private startController(at: number): void {
    const { spec, options, program } = this.setup;
    const settingsPath = join(this.folder, `${labelOf(at)}.toml`);
    const optionsPath = join(this.folder, "options.json");
    writeFileSync(settingsPath, settingsText(spec, this.addresses, at));
    writeFileSync(optionsPath, JSON.stringify(options));
    const log = openSync(join(this.folder, `${labelOf(at)}.log`), "a");
    const child = spawn(process.execPath, [program, "serve", "--config", settingsPath, "--options", optionsPath], {
      // The pipe closes when this process ends for any reason, so that no controller is left running.
      stdio: ["pipe", "ignore", log],
      env: { ...process.env, [END_WITH_STDIN]: "1" },
    });
    closeSync(log);
    this.children[at] = child;
    child.once("exit", (code) => {
      if (this.stopped || this.children[at] !== child) return;
      this.setup.onError(
        `${labelOf(at)} ended by itself (${code}); its log is ${join(this.folder, `${labelOf(at)}.log`)}`,
      );
    });
  }

  private async waitUntilReady(): Promise<void> {
    const http = this.net.client();
    const until = performance.now() + START_TIMEOUT_MS;
    for (const address of this.addresses.controllers) {
      for (;;) {
        const outcome = await http.call(address, { method: "GET", target: "/up", body: "" }, ms(1_000));
        if (outcome.kind === "answer" && outcome.status === 200) break;
        if (performance.now() > until) throw new PortError(`${address}: not ready after 15 s; logs in ${this.folder}`);
        await sleep(READY_POLL_MS);
      }
    }
  }

  /** Kills a controller process with SIGKILL, as a crash does, and restarts it after `backAfterUs`. */
  crash(at: number, backAfterUs = RESTART_DELAY_MS * 1_000): void {
    const child = this.children[at];
    if (child === undefined || child === null) return;
    this.children[at] = null;
    child.kill("SIGKILL");
    this.timeline.after(backAfterUs, () => {
      if (!this.stopped) this.startController(at);
    });
  }

  /** Submits a job whose tasks run as estimated, except for what `behaviour` overrides. */
  submit(job: Submission, behaviour: Partial<Behaviour> = {}): void {
    this.truth.behaviours.set(job.ref, this.scaleDurations({ ...jobBehaviour(job), ...behaviour }));
    this.users.submit(job);
  }

  private scaleDurations(behaviour: Behaviour): Behaviour {
    const { speed } = this.setup;
    const { runUs, runsUs, saveEveryUs, saveTakesUs } = behaviour;
    return {
      ...behaviour,
      runUs: runUs === null ? null : Math.round(runUs / speed),
      ...(runsUs === undefined ? {} : { runsUs: new Map([...runsUs].map(([at, us]) => [at, Math.round(us / speed)])) }),
      saveEveryUs: Math.round(saveEveryUs / speed),
      saveTakesUs: Math.round(saveTakesUs / speed),
    };
  }

  /** Behaviour of a job submitted through the command line, read from its record in the key-value store. */
  private behaviourFromRecord(job: string): Behaviour | null {
    const value = this.state.value(jobKey(job));
    if (value === undefined) return null;
    const { spec } = decodeJobRecord(value);
    return this.scaleDurations({
      cpus: spec.demand.cpu / 1_000,
      gpus: spec.demand.gpu / 1_000,
      ramGb: spec.demand.ram / 1_000,
      bundle: spec.image,
      sizeGb: spec.imageGb,
      runUs: spec.shape === "service" ? null : Math.round(spec.estimatedRunS * S),
      saveEveryUs: Math.round(spec.checkpointIntervalS * S),
      saveTakesUs: Math.round(spec.checkpointDurationS * S),
      failsAlways: false,
      gang: spec.shape === "gang" ? spec.tasks : 0,
    });
  }

  /** Kills the controller processes, waits for their exit and releases the ports. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.timeline.stop();
    const ends = this.children.map(
      (child) =>
        new Promise<void>((resolve) => {
          if (child === null || child.exitCode !== null || child.signalCode !== null) {
            resolve();
            return;
          }
          child.once("exit", () => resolve());
          child.kill("SIGKILL");
        }),
    );
    await Promise.all(ends);
    await this.net.close();
  }

  /** Kills the controller processes without waiting, when this process itself is about to exit. */
  kill(): void {
    this.stopped = true;
    for (const child of this.children) child?.kill("SIGKILL");
  }
}
