import type { ClusterEvent } from "../cluster/events.js";
import type { ExtensionFactory } from "../coordination/extension.js";
import { Controller } from "../coordination/leadership/controller.js";
import type { ControllerEnvironment } from "../coordination/leadership/controller-environment.js";
import { createMeshFactory } from "../mesh/index.js";
import type { OperatorOptions } from "../settings/options.js";
import type { Settings } from "../settings/settings.js";
import type { Log, LogFields } from "../transport/log.js";
import { jobBehaviour } from "./behaviour.js";
import { CloudService, type Room, roomOf } from "./cloud-service.js";
import { type Bounds, Door, type Usage } from "./door.js";
import { type Host, Network, type Swallowed } from "./network.js";
import { Luck, Random } from "./random.js";
import { type Addresses, CLOCK_ERROR_MS, labelOf, type SiteSpec, settingsOf } from "./site-spec.js";
import { StateService } from "./state-service.js";
import { type Behaviour, Truth } from "./truth.js";
import { type Hearing, PLAIN_USERS, type Quirks, type Submission, Users } from "./users.js";
import { SimWires } from "./wires.js";
import type { Witness } from "./witness.js";
import { type Surroundings, Worker } from "./worker.js";
import { HostClock, S, World } from "./world.js";

interface Node {
  clock: HostClock;
  readonly door: Door | null;
  readonly host: Host & { state: Host["state"] };
  controller: Controller | null;
  starts: number;
}

export interface SiteWatch {
  readonly witness: Witness;
  readonly hearing: Hearing;
  log(level: "error" | "info", controller: number, event: string, fields: LogFields): void;
  /** What the controllers would record, where one is to be listened to. */
  readonly sink?: (event: ClusterEvent) => void;
}

export interface SiteSetup {
  readonly spec: SiteSpec;
  readonly options: OperatorOptions;
  readonly seed: number;
  /** Of what goes by turn (delays, drift, who asks whom); the seed itself by default. Luck by name keeps to `seed`. */
  readonly turnSeed?: number;
  readonly watch: (world: World) => SiteWatch;
  /** Settings of the controllers where they are to differ from the site's truth. */
  readonly settings?: (index: number, addresses: Addresses) => Settings;
  readonly room?: Room;
  readonly quirks?: Quirks;
  /** Bounds of each controller's process; none by default. */
  readonly bounds?: Bounds;
  /** What makes jobs of its own beside the controllers' kernel. */
  readonly extension?: ExtensionFactory;
  /** Changes that a watch on the state service can look back on. */
  readonly stateLog?: number;
}

const host = (at: number, port: number): string => `10.0.0.${at + 1}:${port}`;

export const simulatedAddresses = (controllers: number): Addresses => ({
  controllers: Array.from({ length: controllers }, (_, at) => host(at, 8080)),
  mesh: Array.from({ length: controllers }, (_, at) => host(at, 8081)),
  state: "10.0.1.1:2379",
  cloud: "10.0.1.2:8443",
});

const RESTART_US = 3 * S;
const WALL_MS = 1_700_000_000_000;

/** A whole site on one simulated clock: the controllers' real code, and stand-ins for all that is around them. */
export class Site {
  readonly world = new World();
  readonly random: Random;
  readonly network: Network;
  readonly state: StateService;
  readonly cloud: CloudService;
  readonly users: Users;
  readonly truth = new Truth();
  readonly addresses: Addresses;
  private readonly watch: SiteWatch;
  readonly wires: SimWires;
  private readonly nodes: Node[];
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
    this.wires = new SimWires(
      this.world,
      this.network,
      new Map(mesh.map((address, at) => [address, controllers[at] ?? ""])),
    );
    this.network.add({
      address: this.addresses.state,
      serve: (request, from) => this.state.serve(request, from),
      state: "up",
    });
    const dependencies: Surroundings = {
      timeline: this.world,
      net: this.network,
      random: this.random,
      luck: new Luck(seed),
      witness: this.watch.witness,
      truth: this.truth,
      nodes: this.addresses.controllers,
      labels: spec.controllers.map((_, at) => labelOf(at)),
      times: spec.workers,
    };
    this.cloud = new CloudService(
      this.world,
      this.random,
      dependencies.luck,
      spec,
      (info, type) => new Worker(dependencies, info, type),
      this.watch.witness,
      setup.room ?? roomOf(spec.capacity),
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
    this.nodes = this.addresses.controllers.map((address) => this.makeNode(address));
    for (let at = 0; at < count; at += 1) this.start(at);
  }

  private makeNode(address: string): Node {
    const { bounds } = this.setup;
    const door = bounds === undefined ? null : new Door(this.world, bounds);
    const node: Node = {
      clock: new HostClock(this.world, 1, 0),
      door,
      host: {
        address,
        door,
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
    const node = this.nodes[at];
    const settings = this.settings[at];
    if (node === undefined || settings === undefined) return;
    node.starts += 1;
    const { door } = node;
    const later = door === null ? null : door.after.bind(door);
    node.clock = new HostClock(this.world, 1 + this.random.next() * 0.0005, this.random.int(0, 1e9), later);
    door?.restart();
    const { clock } = node;
    const line =
      (level: "error" | "info"): Log["info"] =>
      (event, fields) =>
        this.watch.log(level, at, event, fields ?? {});
    const outside = {
      clock,
      log: { error: line("error"), info: line("info"), debug: () => undefined },
      http: this.network.client(node.host.address, clock),
      random: this.random.next,
      eventListener: this.watch.sink ?? null,
      extension: this.setup.extension ?? null,
      // Off by as much as the settings allow, one way or the other.
      wallClock: () => WALL_MS + this.world.now / 1_000 + (at % 2 === 0 ? 1 : -1) * CLOCK_ERROR_MS,
      ...(door === null ? {} : this.bounded(at, door)),
    };
    const incarnation = `inc-${at}-${node.starts}`;
    const transport = this.wires.of(this.addresses.mesh[at] ?? "", clock);
    const mesh = this.setup.options.mesh ? createMeshFactory({ ...outside, settings, incarnation, transport }) : null;
    node.controller = new Controller({ ...outside, mesh }, settings, this.setup.options, incarnation);
    node.host.state = "up";
    node.controller.start();
  }

  private bounded(at: number, door: Door): Pick<ControllerEnvironment, "load" | "onInspected"> {
    return {
      load: door.bounds.sheds ? () => door.load(this.bytes(at)) : null,
      onInspected: (looks) => door.spend(looks * door.bounds.costs.lookUs),
    };
  }

  /** Whoever holds the machines keeps them and their tasks in memory. */
  private bytes(at: number): number {
    const node = this.nodes[at];
    if (node === undefined || node.door === null) return 0;
    const holds = node.controller?.leadershipSize ?? { machines: 0, tasks: 0 };
    return node.door.bytes(holds.machines, holds.tasks);
  }

  /** What each controller's process has used so far; empty without bounds. */
  usage(): readonly Usage[] {
    return this.nodes.flatMap(({ door }) => (door === null ? [] : [door.usage]));
  }

  /** Ends processes that hold more memory than they may; returns how many. */
  endOversized(): number {
    let ended = 0;
    for (const [at, { door, controller }] of this.nodes.entries()) {
      if (door === null || controller === null || this.bytes(at) <= door.bounds.memoryBytes) continue;
      ended += 1;
      this.crash(at);
    }
    return ended;
  }

  /** A job and how its tasks behave; then its user submits it. */
  submit(job: Submission, behaviour: Partial<Behaviour> = {}): void {
    this.truth.behaviours.set(job.ref, { ...jobBehaviour(job), ...behaviour });
    this.users.submit(job);
  }

  crash(at: number, backAfterUs = RESTART_US): void {
    const node = this.nodes[at];
    if (node === undefined || node.controller === null) return;
    node.clock.dead = true;
    this.wires.died(node.clock);
    node.controller = null;
    node.host.state = "refusing";
    this.world.after(backAfterUs, () => this.start(at));
  }

  /** Its process ends and comes back with these settings, as another version of the program would read them. */
  restartWith(at: number, settings: Settings, backAfterUs = RESTART_US): void {
    this.settings[at] = settings;
    this.crash(at, backAfterUs);
  }

  /** The process stands still while its clocks run on; only where its bounds are modelled. */
  freeze(at: number, forUs: number): void {
    this.nodes[at]?.door?.freeze(forUs);
  }

  /** The controller that runs there now. */
  controllerAt(at: number): Controller | null {
    return this.nodes[at]?.controller ?? null;
  }

  nodeAddress(at: number): string {
    return this.addresses.controllers[at] ?? "";
  }

  /** Connections between controllers are refused, and those that are open break. */
  refusePeers(forUs: number): void {
    this.wires.refuse(forUs);
  }

  private isNode(address: string): boolean {
    return this.addresses.controllers.includes(address);
  }

  /** Cuts this controller off from the state service (and only from it). */
  cutFromState(at: number, forUs: number, mode: "hold" | "reset"): void {
    const address = this.nodeAddress(at);
    this.network.cut((a, b) => a === address && b === this.addresses.state, forUs, mode);
  }

  /** Cuts a controller off from all machines, and from nothing else. */
  cutFromWorkers(at: number, forUs: number, mode: "hold" | "reset"): void {
    const address = this.nodeAddress(at);
    const others = [this.addresses.state, this.addresses.cloud, "user", ...this.addresses.controllers];
    this.network.cut((a, b) => a === address && !others.includes(b), forUs, mode);
  }

  /** A controller with its workers and nothing else: neither state service nor siblings (nor, where `cloud`, the cloud). */
  cutAllButWorkers(at: number, forUs: number, mode: "hold" | "reset", cloud = false): void {
    const address = this.nodeAddress(at);
    const others = [this.addresses.state, ...(cloud ? [this.addresses.cloud] : []), ...this.addresses.controllers];
    this.network.cut((a, b) => a === address && b !== address && others.includes(b), forUs, mode);
  }

  /** One way only: what machines report arrives, while commands, answers to reports or both never reach them. */
  deafen(addresses: ReadonlySet<string>, forUs: number, swallows: readonly Swallowed[]): void {
    const from = (address: string): boolean => this.isNode(address);
    this.network.lose({ from, to: (address) => addresses.has(address), swallows }, forUs);
  }

  /** The same for all machines, those that come up meanwhile included. */
  deafenAll(forUs: number, swallows: readonly Swallowed[]): void {
    const { controllers, state, cloud } = this.addresses;
    const others = new Set([...controllers, state, cloud, "user"]);
    const from = (address: string): boolean => this.isNode(address);
    this.network.lose({ from, to: (address) => !others.has(address), swallows }, forUs);
  }

  /** These machines reach no controller, while commands and questions reach them and are answered. */
  mute(addresses: ReadonlySet<string>, forUs: number): void {
    const to = (address: string): boolean => this.isNode(address);
    this.network.lose({ from: (address) => addresses.has(address), to, swallows: ["requests"] }, forUs);
  }

  /** Copies of reports are kept from now on; `releaseReports` gives all of them to every controller. */
  keepReports(chance: number, forUs: number): void {
    this.network.keep((_, { target }) => target === "/hello", chance, forUs);
  }

  releaseReports(): number {
    return this.network.release(this.addresses.controllers);
  }

  /** Reports come once more, at any controller, up to so long after they were sent. */
  copyReports(chance: number, mostLateUs: number, forUs: number): void {
    this.network.copies = {
      of: (_, { target }) => target === "/hello",
      chance,
      mostLateUs,
      until: this.world.now + forUs,
      at: () => this.random.pick(this.addresses.controllers),
    };
  }

  /** Requests that were carried out come once more, up to so long after they were sent. */
  repeatRequests(chance: number, mostLateUs: number, forUs: number): void {
    const until = this.world.now + forUs;
    this.network.copies = { of: (_, { target }) => target !== "/hello", chance, mostLateUs, until };
  }

  /** That share of the state service's answers, those to renewals and watches included, takes up to so long. */
  slowState(chance: number, mostUs: number, forUs: number): void {
    const { state } = this.addresses;
    this.network.delayMessages({ of: (_, to) => to === state, delays: "answers", chance, mostUs }, forUs);
  }

  /** That share of commands, or of their answers, is on its way for up to so long. */
  holdUpCommands(delays: Swallowed, chance: number, mostUs: number, forUs: number): void {
    this.network.delayMessages({ of: (_, __, { target }) => target === "/orders", delays, chance, mostUs }, forUs);
  }

  /** Cuts one machine off from every controller. */
  cutMachine(address: string, forUs: number, mode: "hold" | "reset"): void {
    this.network.cut((a, b) => a === address && this.isNode(b), forUs, mode);
  }

  /** Cuts all machines of a zone off from every controller, those that come up meanwhile, too. */
  cutZone(zone: string, forUs: number, mode: "hold" | "reset"): void {
    const zones = new Map<string, string>();
    const zoneOf = (address: string): string | undefined => {
      if (!zones.has(address))
        for (const { info, worker } of this.cloud.running()) if (worker) zones.set(worker.host.address, info.zone);
      return zones.get(address);
    };
    this.network.cut((a, b) => this.isNode(b) && !this.isNode(a) && zoneOf(a) === zone, forUs, mode);
  }
}
