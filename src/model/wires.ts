import type { FrameConnection, FrameTransport } from "../mesh/index.js";
import type { Network } from "./network.js";
import type { HostClock, World } from "./world.js";

const nothing = (): void => undefined;
const CONNECT_PATIENCE_US = 1_000_000;

/** One endpoint of a simulated connection. */
class End implements FrameConnection {
  other: End | null = null;
  open = true;
  /** Earliest arrival of the next data, so that data arrive in order. */
  private nextAt = 0;
  /** Data written before the connection was established. */
  private waiting: Buffer[] = [];
  onData: (data: Buffer) => void = nothing;
  onDrain: () => void = nothing;
  onClosed: () => void = nothing;

  constructor(
    private readonly hub: SimWires,
    readonly from: string,
    private readonly to: string,
    readonly clock: HostClock,
  ) {}

  write(data: Buffer): boolean {
    if (!this.open) return true;
    if (this.other === null) this.waiting.push(data);
    else this.send(data);
    return true;
  }

  joined(other: End): void {
    this.other = other;
    for (const data of this.waiting.splice(0)) this.send(data);
  }

  private send(data: Buffer): void {
    const { world } = this.hub;
    this.hub.onSend?.(this.from, this.to, data);
    const arrive = (): void => {
      const cut = this.hub.network.cutFor(this.from, this.to);
      if (cut?.mode === "reset") {
        this.broken();
        return;
      }
      if (cut !== undefined) {
        this.nextAt = cut.until + 100;
        world.at(this.nextAt, arrive);
        return;
      }
      const { other } = this;
      if (other?.open === true && !other.clock.dead) other.onData(data);
    };
    this.nextAt = Math.max(world.now + this.hub.network.travel(), this.nextAt + 1);
    world.at(this.nextAt, arrive);
  }

  /** Breaks the connection; both endpoints are notified at once. */
  broken(): void {
    for (const end of [this, this.other]) {
      if (end === null || !end.open) continue;
      end.open = false;
      if (!end.clock.dead) end.onClosed();
    }
  }

  close(): void {
    if (!this.open) return;
    this.open = false;
    const { other } = this;
    if (other === null) return;
    this.hub.world.after(this.hub.network.travel(), () => {
      if (!other.open || this.hub.network.cutFor(this.from, this.to) !== undefined) return;
      other.open = false;
      if (!other.clock.dead) other.onClosed();
    });
  }
}

/** Simulated connections between controllers, subject to the partitions of the network. */
export class SimWires {
  private readonly listeners = new Map<
    string,
    { readonly clock: HostClock; readonly onWire: (wire: FrameConnection) => void }
  >();
  private readonly ends = new Set<End>();
  refusedUntil = 0;
  /** Called with the data that a controller sends to another over an established connection. */
  onSend: ((from: string, to: string, data: Buffer) => void) | null = null;

  constructor(
    readonly world: World,
    readonly network: Network,
    /** Controller address, as partitions use it, by mesh address. */
    private readonly hosts: ReadonlyMap<string, string>,
  ) {}

  /** The transport of the controller process with this mesh address and clock. */
  of(meshAddress: string, clock: HostClock): FrameTransport {
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
    for (const end of this.ends) end.broken();
  }

  /** Breaks all connections of a process that has ended. */
  died(clock: HostClock): void {
    for (const end of this.ends) if (end.clock === clock) end.broken();
  }

  private connect(from: string, to: string, clock: HostClock): FrameConnection {
    const hostOf = (address: string): string => this.hosts.get(address) ?? address;
    const near = new End(this, hostOf(from), hostOf(to), clock);
    const fail = (): void => {
      if (!near.open) return;
      near.open = false;
      if (!clock.dead) near.onClosed();
    };
    this.world.after(this.network.travel(), () => {
      if (!near.open || clock.dead) return;
      const listener = this.listeners.get(to);
      if (listener === undefined || listener.clock.dead || this.world.now < this.refusedUntil) {
        fail();
        return;
      }
      const cut = this.network.cutFor(near.from, hostOf(to));
      if (cut !== undefined) {
        this.world.after(cut.mode === "hold" ? CONNECT_PATIENCE_US : 0, fail);
        return;
      }
      const far = new End(this, hostOf(to), hostOf(from), listener.clock);
      this.ends.add(near);
      this.ends.add(far);
      for (const end of this.ends) if (!end.open) this.ends.delete(end);
      far.joined(near);
      listener.onWire(far);
      near.joined(far);
    });
    return near;
  }
}
