import type { FrameConnection, FrameTransport } from "../mesh/index.js";
import type { Network } from "./network.js";
import type { HostClock, Simulation } from "./simulation.js";

const nothing = (): void => undefined;
const CONNECT_TIMEOUT_US = 1_000_000;

/** One endpoint of a simulated connection. */
class Endpoint implements FrameConnection {
  peer: Endpoint | null = null;
  open = true;
  /** Earliest arrival of the next data, so that data arrive in order. */
  private earliestArrival = 0;
  /** Data written before the connection was established. */
  private unsent: Buffer[] = [];
  onData: (data: Buffer) => void = nothing;
  onDrain: () => void = nothing;
  onClosed: () => void = nothing;

  constructor(
    private readonly transports: SimulatedTransports,
    readonly from: string,
    private readonly to: string,
    readonly clock: HostClock,
  ) {}

  write(data: Buffer): boolean {
    if (!this.open) return true;
    if (this.peer === null) this.unsent.push(data);
    else this.send(data);
    return true;
  }

  attach(peer: Endpoint): void {
    this.peer = peer;
    for (const data of this.unsent.splice(0)) this.send(data);
  }

  private send(data: Buffer): void {
    const { world } = this.transports;
    this.transports.onSend?.(this.from, this.to, data);
    const arrive = (): void => {
      const cut = this.transports.network.cutFor(this.from, this.to);
      if (cut?.mode === "reset") {
        this.breakConnection();
        return;
      }
      if (cut !== undefined) {
        this.earliestArrival = cut.until + 100;
        world.at(this.earliestArrival, arrive);
        return;
      }
      const { peer } = this;
      if (peer?.open === true && !peer.clock.dead) peer.onData(data);
    };
    this.earliestArrival = Math.max(world.now + this.transports.network.travel(), this.earliestArrival + 1);
    world.at(this.earliestArrival, arrive);
  }

  /** Breaks the connection; both endpoints are notified at once. */
  breakConnection(): void {
    for (const end of [this, this.peer]) {
      if (end === null || !end.open) continue;
      end.open = false;
      if (!end.clock.dead) end.onClosed();
    }
  }

  close(): void {
    if (!this.open) return;
    this.open = false;
    const { peer } = this;
    if (peer === null) return;
    this.transports.world.after(this.transports.network.travel(), () => {
      if (!peer.open || this.transports.network.cutFor(this.from, this.to) !== undefined) return;
      peer.open = false;
      if (!peer.clock.dead) peer.onClosed();
    });
  }
}

/** Simulated connections between controllers, subject to the partitions of the network. */
export class SimulatedTransports {
  private readonly listeners = new Map<
    string,
    { readonly clock: HostClock; readonly onWire: (wire: FrameConnection) => void }
  >();
  private readonly endpoints = new Set<Endpoint>();
  refusedUntil = 0;
  /** Called with the data that a controller sends to another over an established connection. */
  onSend: ((from: string, to: string, data: Buffer) => void) | null = null;

  constructor(
    readonly world: Simulation,
    readonly network: Network,
    /** Controller address, as partitions use it, by mesh address. */
    private readonly controllerByMeshAddress: ReadonlyMap<string, string>,
  ) {}

  /** The transport of the controller process with this mesh address and clock. */
  transportFor(meshAddress: string, clock: HostClock): FrameTransport {
    return {
      connect: (address) => this.connect(meshAddress, address, clock),
      listen: (onWire) => {
        this.listeners.set(meshAddress, { clock, onWire });
      },
    };
  }

  /** Emulates a packet filter between controllers: open connections break and new ones are refused. */
  refuse(forUs: number): void {
    this.refusedUntil = this.world.now + forUs;
    for (const endpoint of this.endpoints) endpoint.breakConnection();
  }

  /** Breaks all connections of a process that has ended. */
  processEnded(clock: HostClock): void {
    for (const endpoint of this.endpoints) if (endpoint.clock === clock) endpoint.breakConnection();
  }

  private connect(from: string, to: string, clock: HostClock): FrameConnection {
    const hostOf = (address: string): string => this.controllerByMeshAddress.get(address) ?? address;
    const local = new Endpoint(this, hostOf(from), hostOf(to), clock);
    const fail = (): void => {
      if (!local.open) return;
      local.open = false;
      if (!clock.dead) local.onClosed();
    };
    this.world.after(this.network.travel(), () => {
      if (!local.open || clock.dead) return;
      const listener = this.listeners.get(to);
      if (listener === undefined || listener.clock.dead || this.world.now < this.refusedUntil) {
        fail();
        return;
      }
      const cut = this.network.cutFor(local.from, hostOf(to));
      if (cut !== undefined) {
        this.world.after(cut.mode === "hold" ? CONNECT_TIMEOUT_US : 0, fail);
        return;
      }
      const remote = new Endpoint(this, hostOf(to), hostOf(from), listener.clock);
      this.endpoints.add(local);
      this.endpoints.add(remote);
      for (const endpoint of this.endpoints) if (!endpoint.open) this.endpoints.delete(endpoint);
      remote.attach(local);
      listener.onWire(remote);
      local.attach(remote);
    });
    return local;
  }
}
