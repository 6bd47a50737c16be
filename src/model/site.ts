import type { ClusterEvent } from "../cluster/events.js";
import type { ExtensionFactory } from "../coordination/extension.js";
import { Controller } from "../coordination/leadership/controller.js";
import type { ControllerEnvironment } from "../coordination/leadership/controller-environment.js";
import { createMeshFactory } from "../mesh/index.js";
import type { OperatorOptions } from "../settings/options.js";
import type { Settings } from "../settings/settings.js";
import type { Log, LogFields } from "../transport/log.js";
import { CloudService, fixedCapacity, type Room } from "./cloud-service.js";
import { type Behaviour, GroundTruth } from "./ground-truth.js";
import { jobBehaviour } from "./job-behaviour.js";
import type { MachineObserver } from "./machine-observer.js";
import { type Host, type MessageDirection, Network } from "./network.js";
import { type Bounds, ProcessModel, type Usage } from "./process-model.js";
import { NamedRandom, Random } from "./random.js";
import { SimulatedTransports } from "./simulated-transports.js";
import { HostClock, S, Simulation } from "./simulation.js";
import { type Addresses, CLOCK_ERROR_MS, labelOf, type SiteSpec, settingsOf } from "./site-spec.js";
import { StateService } from "./state-service.js";
import { PLAIN_USERS, type Quirks, type Submission, type UserObserver, Users } from "./users.js";
import { Worker, type WorkerEnvironment } from "./worker.js";

/** A controller's host with the process that currently runs on it; `starts` counts its processes. */
interface ControllerHost {
  clock: HostClock;
  readonly processModel: ProcessModel | null;
  readonly host: Host & { state: Host["state"] };
  controller: Controller | null;
  starts: number;
}

/** Observers of a simulated site. */
export interface SiteWatch {
  readonly witness: MachineObserver;
  readonly hearing: UserObserver;
  log(level: "error" | "info", controller: number, event: string, fields: LogFields): void;
  /** Receives the cluster events that the controllers would record in a trace. */
  readonly sink?: (event: ClusterEvent) => void;
}

export interface SiteSetup {
  readonly spec: SiteSpec;
  readonly options: OperatorOptions;
  readonly seed: number;
  /** Seed of sequential draws (delays, drift, choice of controller), `seed` by default; draws by name use `seed`. */
  readonly turnSeed?: number;
  readonly watch: (world: Simulation) => SiteWatch;
  /** Settings of each controller; derived from `spec` by default. */
  readonly settings?: (index: number, addresses: Addresses) => Settings;
  /** Free capacity of the cloud; the limits of `spec` by default. */
  readonly room?: Room;
  readonly quirks?: Quirks;
  /** Resource limits of each controller's process; unlimited by default. */
  readonly bounds?: Bounds;
  /** The most tasks that a shard leader holds in memory; unlimited by default. */
  readonly maxTasks?: number;
  /** Controller extension that submits jobs of its own. */
  readonly extension?: ExtensionFactory;
  /** Number of past changes that a watch on the key-value store can start from. */
  readonly stateLog?: number;
}

const hostAddress = (at: number, port: number): string => `10.0.0.${at + 1}:${port}`;

/** Addresses of a simulated site. */
export const simulatedAddresses = (controllers: number): Addresses => ({
  controllers: Array.from({ length: controllers }, (_, at) => hostAddress(at, 8080)),
  mesh: Array.from({ length: controllers }, (_, at) => hostAddress(at, 8081)),
  state: "10.0.1.1:2379",
  cloud: "10.0.1.2:8443",
});

const RESTART_DELAY_US = 3 * S;
const WALL_CLOCK_START_MS = 1_700_000_000_000;

/** Full simulation of a site: the controllers' real code and an emulated environment on one simulated clock. */
export class Site {
  readonly world = new Simulation();
  readonly random: Random;
  readonly network: Network;
  readonly state: StateService;
  readonly cloud: CloudService;
  readonly users: Users;
  readonly truth = new GroundTruth();
  readonly addresses: Addresses;
  private readonly watch: SiteWatch;
  readonly wires: SimulatedTransports;
  private readonly controllerHosts: ControllerHost[];
  private readonly settings: Settings[];

  constructor(readonly setup: SiteSetup) {
    const { spec, seed } = setup;
    this.watch = setup.watch(this.world);
    this.random = new Random(setup.turnSeed ?? seed);
    const count = spec.controllers.length;
    this.addresses = simulatedAddresses(count);
    const settings = setup.settings ?? ((index: number, addresses: Addresses) => settingsOf(spec, addresses, index));
    this.settings = spec.controllers.map((_, index) => settings(index, this.addresses));
    this.network = new Network(this.world, this.random);
    const { state } = spec;
    this.state = new StateService(
      this.world,
      this.random,
      { rps: state.rps, writeRps: state.writeRps, txnOps: state.txnOps, valueBytes: state.valueKb * 1_024 },
      setup.stateLog,
    );
    const { mesh, controllers } = this.addresses;
    this.wires = new SimulatedTransports(
      this.world,
      this.network,
      new Map(mesh.map((address, at) => [address, controllers[at] ?? ""])),
    );
    this.network.add({
      address: this.addresses.state,
      serve: (request, from) => this.state.serve(request, from),
      state: "up",
    });
    const dependencies: WorkerEnvironment = {
      timeline: this.world,
      net: this.network,
      random: this.random,
      namedRandom: new NamedRandom(seed),
      witness: this.watch.witness,
      truth: this.truth,
      controllers: this.addresses.controllers,
      controllerLabels: spec.controllers.map((_, at) => labelOf(at)),
      times: spec.workers,
    };
    this.cloud = new CloudService(
      this.world,
      this.random,
      dependencies.namedRandom,
      spec,
      (info, type) => new Worker(dependencies, info, type),
      this.watch.witness,
      setup.room ?? fixedCapacity(spec.capacity),
    );
    this.network.add({ address: this.addresses.cloud, serve: (request) => this.cloud.serve(request), state: "up" });
    this.users = new Users(
      this.world,
      this.network,
      this.random,
      this.addresses.controllers,
      this.watch.hearing,
      setup.quirks ?? PLAIN_USERS,
    );
    this.controllerHosts = this.addresses.controllers.map((address) => this.createControllerHost(address));
    for (let at = 0; at < count; at += 1) this.start(at);
  }

  private createControllerHost(address: string): ControllerHost {
    const { bounds } = this.setup;
    const processModel = bounds === undefined ? null : new ProcessModel(this.world, bounds);
    const node: ControllerHost = {
      clock: new HostClock(this.world, 1, 0),
      processModel,
      host: {
        address,
        processModel,
        state: "refusing",
        serve: (request) => {
          const { controller, clock } = node;
          if (controller === null) return new Promise(() => undefined);
          return new Promise((resolve) => {
            void controller.handle(request).then((response) => {
              if (!clock.dead) resolve(response);
            });
          });
        },
      },
      controller: null,
      starts: 0,
    };
    this.network.add(node.host);
    return node;
  }

  private start(at: number): void {
    const node = this.controllerHosts[at];
    const settings = this.settings[at];
    if (node === undefined || settings === undefined) return;
    node.starts += 1;
    const { processModel } = node;
    const scheduleTimer = processModel === null ? null : processModel.after.bind(processModel);
    node.clock = new HostClock(this.world, 1 + this.random.next() * 0.0005, this.random.int(0, 1e9), scheduleTimer);
    processModel?.restart();
    const { clock } = node;
    const logAt =
      (level: "error" | "info"): Log["info"] =>
      (event, fields) =>
        this.watch.log(level, at, event, fields ?? {});
    const environment = {
      clock,
      log: { error: logAt("error"), info: logAt("info"), debug: () => undefined },
      http: this.network.client(node.host.address, clock),
      random: this.random.next,
      eventListener: this.watch.sink ?? null,
      extension: this.setup.extension ?? null,
      maxTasks: this.setup.maxTasks ?? Number.POSITIVE_INFINITY,
      // Wall clocks deviate by the maximum error that the settings allow, alternately ahead and behind.
      wallClock: () => WALL_CLOCK_START_MS + this.world.now / 1_000 + (at % 2 === 0 ? 1 : -1) * CLOCK_ERROR_MS,
      ...(processModel === null ? {} : this.resourceHooks(at, processModel)),
    };
    const incarnation = `inc-${at}-${node.starts}`;
    const transport = this.wires.transportFor(this.addresses.mesh[at] ?? "", clock);
    const mesh = this.setup.options.mesh
      ? createMeshFactory({ ...environment, settings, incarnation, transport })
      : null;
    node.controller = new Controller({ ...environment, mesh }, settings, this.setup.options, incarnation);
    node.host.state = "up";
    node.controller.start();
  }

  private resourceHooks(at: number, processModel: ProcessModel): Pick<ControllerEnvironment, "load" | "onInspected"> {
    return {
      load: processModel.bounds.sheds ? () => processModel.load(this.memoryBytes(at)) : null,
      onInspected: (inspected) => processModel.spend(inspected * processModel.bounds.costs.lookUs),
    };
  }

  /** Memory used by a controller's process; the shard leader keeps machines and their tasks in memory. */
  private memoryBytes(at: number): number {
    const node = this.controllerHosts[at];
    if (node === undefined || node.processModel === null) return 0;
    const size = node.controller?.leadershipSize ?? { machines: 0, tasks: 0 };
    return node.processModel.bytes(size.machines, size.tasks);
  }

  /** Resource usage of each controller's process so far; empty without resource limits. */
  usage(): readonly Usage[] {
    return this.controllerHosts.flatMap(({ processModel }) => (processModel === null ? [] : [processModel.usage]));
  }

  /** Ends processes that exceed their memory limit; returns how many. */
  endOversized(): number {
    let ended = 0;
    for (const [at, { processModel, controller }] of this.controllerHosts.entries()) {
      if (processModel === null || controller === null || this.memoryBytes(at) <= processModel.bounds.memoryBytes)
        continue;
      ended += 1;
      this.crash(at);
    }
    return ended;
  }

  /** Submits a job whose tasks run as estimated, except for what `behaviour` overrides. */
  submit(job: Submission, behaviour: Partial<Behaviour> = {}): void {
    this.truth.behaviours.set(job.ref, { ...jobBehaviour(job), ...behaviour });
    this.users.submit(job);
  }

  /** Crashes a controller's process and restarts it after `backAfterUs`. */
  crash(at: number, backAfterUs = RESTART_DELAY_US): void {
    const node = this.controllerHosts[at];
    if (node === undefined || node.controller === null) return;
    node.clock.dead = true;
    this.wires.processEnded(node.clock);
    node.controller = null;
    node.host.state = "refusing";
    this.world.after(backAfterUs, () => this.start(at));
  }

  /** Crashes a controller's process and restarts it with other settings, as another program version would read them. */
  restartWith(at: number, settings: Settings, backAfterUs = RESTART_DELAY_US): void {
    this.settings[at] = settings;
    this.crash(at, backAfterUs);
  }

  /** Pauses the process while its clock keeps running; no effect without resource limits. */
  freeze(at: number, forUs: number): void {
    this.controllerHosts[at]?.processModel?.freeze(forUs);
  }

  /** The running controller; null while its process is down. */
  controllerAt(at: number): Controller | null {
    return this.controllerHosts[at]?.controller ?? null;
  }

  nodeAddress(at: number): string {
    return this.addresses.controllers[at] ?? "";
  }

  /** Refuses connections between controllers, and breaks those that are open. */
  refusePeers(forUs: number): void {
    this.wires.refuse(forUs);
  }

  private isController(address: string): boolean {
    return this.addresses.controllers.includes(address);
  }

  /** Partitions a controller from the key-value store only. */
  cutFromState(at: number, forUs: number, mode: "hold" | "reset"): void {
    const address = this.nodeAddress(at);
    this.network.cut((a, b) => a === address && b === this.addresses.state, forUs, mode);
  }

  /** Partitions a controller from all workers only. */
  cutFromWorkers(at: number, forUs: number, mode: "hold" | "reset"): void {
    const address = this.nodeAddress(at);
    const others = [this.addresses.state, this.addresses.cloud, "user", ...this.addresses.controllers];
    this.network.cut((a, b) => a === address && !others.includes(b), forUs, mode);
  }

  /** Partitions a controller from the key-value store, the other controllers and, with `cloud`, the cloud. */
  cutAllButWorkers(at: number, forUs: number, mode: "hold" | "reset", cloud = false): void {
    const address = this.nodeAddress(at);
    const others = [this.addresses.state, ...(cloud ? [this.addresses.cloud] : []), ...this.addresses.controllers];
    this.network.cut((a, b) => a === address && b !== address && others.includes(b), forUs, mode);
  }

  /** One-way loss towards these machines: heartbeats arrive; commands, responses to heartbeats or both are dropped. */
  dropToMachines(addresses: ReadonlySet<string>, forUs: number, swallows: readonly MessageDirection[]): void {
    const from = (address: string): boolean => this.isController(address);
    this.network.lose({ from, to: (address) => addresses.has(address), drops: swallows }, forUs);
  }

  /** As `dropToMachines` for all machines, including those that boot later. */
  dropToAllMachines(forUs: number, swallows: readonly MessageDirection[]): void {
    const { controllers, state, cloud } = this.addresses;
    const others = new Set([...controllers, state, cloud, "user"]);
    const from = (address: string): boolean => this.isController(address);
    this.network.lose({ from, to: (address) => !others.has(address), drops: swallows }, forUs);
  }

  /** One-way loss from these machines: their heartbeats are dropped; commands and status queries are answered. */
  dropFromMachines(addresses: ReadonlySet<string>, forUs: number): void {
    const to = (address: string): boolean => this.isController(address);
    this.network.lose({ from: (address) => addresses.has(address), to, drops: ["requests"] }, forUs);
  }

  /** Retains duplicates of heartbeats; `releaseReports` delivers all of them to every controller. */
  keepReports(chance: number, forUs: number): void {
    this.network.keep((_, { target }) => target === "/hello", chance, forUs);
  }

  /** Delivers the retained heartbeats and returns the number of deliveries. */
  releaseReports(): number {
    return this.network.release(this.addresses.controllers);
  }

  /** Delivers duplicates of heartbeats to random controllers, up to `mostLateUs` late. */
  copyReports(chance: number, mostLateUs: number, forUs: number): void {
    this.network.copies = {
      of: (_, { target }) => target === "/hello",
      chance,
      mostLateUs,
      until: this.world.now + forUs,
      at: () => this.random.pick(this.addresses.controllers),
    };
  }

  /** Delivers duplicates of all requests other than heartbeats, up to `mostLateUs` late. */
  repeatRequests(chance: number, mostLateUs: number, forUs: number): void {
    const until = this.world.now + forUs;
    this.network.copies = { of: (_, { target }) => target !== "/hello", chance, mostLateUs, until };
  }

  /** Delays a share of the key-value store's responses, including those to lease renewals and watches. */
  slowState(chance: number, mostUs: number, forUs: number): void {
    const { state } = this.addresses;
    this.network.delayMessages({ of: (_, to) => to === state, delays: "answers", chance, mostUs }, forUs);
  }

  /** Delays a share of the commands to workers, or of the responses to them, by up to `mostUs`. */
  holdUpCommands(delays: MessageDirection, chance: number, mostUs: number, forUs: number): void {
    this.network.delayMessages({ of: (_, __, { target }) => target === "/orders", delays, chance, mostUs }, forUs);
  }

  /** Partitions a machine from all controllers. */
  cutMachine(address: string, forUs: number, mode: "hold" | "reset"): void {
    this.network.cut((a, b) => a === address && this.isController(b), forUs, mode);
  }

  /** Partitions all machines of a zone, including those that boot later, from all controllers. */
  cutZone(zone: string, forUs: number, mode: "hold" | "reset"): void {
    const zones = new Map<string, string>();
    const zoneOf = (address: string): string | undefined => {
      if (!zones.has(address))
        for (const { info, worker } of this.cloud.running()) if (worker) zones.set(worker.host.address, info.zone);
      return zones.get(address);
    };
    this.network.cut((a, b) => this.isController(b) && !this.isController(a) && zoneOf(a) === zone, forUs, mode);
  }
}
