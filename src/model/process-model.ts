import type { ProcessLoad } from "../coordination/overload/load-shedder.js";
import type { Micros } from "../transport/clock.js";
import type { Timeline } from "./simulation.js";

/** Resource limits and cost model of a controller's process. Times in microseconds of one core. */
export interface Bounds {
  /** Share of one core. */
  readonly cpuShare: number;
  readonly maxConnections: number;
  /** Above this number connections are closed with the next response; `maxConnections` for never. */
  readonly keepConnections: number;
  readonly memoryBytes: number;
  /** Whether the controller gets its load figures and can shed load. */
  readonly sheds: boolean;
  readonly costs: Costs;
}

/** Cost of operations, measured with real sockets as described in docs/results.md. */
export interface Costs {
  /** Serving a request on an open connection; `kilobyteUs` is added for each kilobyte of its body. */
  readonly requestUs: number;
  readonly kilobyteUs: number;
  /** Opening and closing, or refusing, a connection. */
  readonly connectUs: number;
  /** Sending a request. */
  readonly callUs: number;
  /** Inspecting a machine or task in a placement round or scale plan. */
  readonly lookUs: number;
  readonly baseBytes: number;
  readonly connectionBytes: number;
  readonly machineBytes: number;
  readonly taskBytes: number;
}

export const MEASURED: Costs = {
  requestUs: 130,
  kilobyteUs: 25,
  connectUs: 160,
  callUs: 260,
  lookUs: 0.4,
  baseBytes: 60e6,
  connectionBytes: 12_000,
  machineBytes: 4_000,
  taskBytes: 900,
};

/** Resource usage so far. */
export interface Usage {
  /** Processor time, in microseconds. */
  readonly cpuUs: number;
  readonly mostConnections: number;
  readonly refused: number;
  /** Time at which each limit was first reached; null: never. */
  readonly reachedAt: Readonly<Record<"processor" | "sockets" | "memory", number | null>>;
}

/** Processor backlog that counts as reaching the limit: workers time out after 4 s without a response. */
const MAX_BACKLOG_US = 1_000_000;

/**
 * Resource model of a controller's process: with a share of a processor, requests and timers queue; connections above
 * the limit are refused; and the process ends when it exceeds its memory limit.
 */
export class ProcessModel {
  /** Simulated time at which the processor has worked off its backlog. */
  private idleAt = 0;
  private cpuUs = 0;
  /** Idle incoming connections, by sender. */
  private readonly idleConnections = new Set<string>();
  /** Incoming requests in progress; `outgoing` counts the outgoing ones. */
  private incoming = 0;
  private outgoing = 0;
  private mostConnections = 0;
  private refused = 0;
  private readonly reachedAt: Record<"processor" | "sockets" | "memory", number | null> = {
    processor: null,
    sockets: null,
    memory: null,
  };

  constructor(
    private readonly timeline: Timeline,
    readonly bounds: Bounds,
  ) {}

  /** Simulated time at which work queued now is processed. */
  get nextSlot(): number {
    return Math.max(this.timeline.now, this.idleAt);
  }

  get usage(): Usage {
    const { cpuUs, mostConnections, refused, reachedAt } = this;
    return { cpuUs, mostConnections, refused, reachedAt: { ...reachedAt } };
  }

  /** Adds work, in microseconds of a whole core, to the processor's backlog. */
  spend(us: number): void {
    this.cpuUs += us;
    this.idleAt = this.nextSlot + us / this.bounds.cpuShare;
    if (this.idleAt - this.timeline.now > MAX_BACKLOG_US) this.reachedAt.processor ??= this.timeline.now;
  }

  private get connections(): number {
    return this.idleConnections.size + this.incoming + this.outgoing;
  }

  private acquireConnection(): boolean {
    const { maxConnections } = this.bounds;
    if (this.connections >= maxConnections) {
      this.reachedAt.sockets ??= this.timeline.now;
      this.refused += 1;
      return false;
    }
    this.mostConnections = Math.max(this.mostConnections, this.connections + 1);
    return true;
  }

  /** Accepts a request: returns a callback that closes or keeps its connection, or null at the connection limit. */
  acceptRequest(from: string, bytes: number, keepAlive: boolean): ((close: boolean) => void) | null {
    const { costs, keepConnections } = this.bounds;
    const open = this.idleConnections.delete(from);
    if (!open) {
      this.spend(costs.connectUs);
      if (!this.acquireConnection()) return null;
    }
    this.incoming += 1;
    this.spend(costs.requestUs + (costs.kilobyteUs * bytes) / 1_024);
    return (close) => {
      this.incoming -= 1;
      if (keepAlive && !close && this.connections < keepConnections) this.idleConnections.add(from);
    };
  }

  /** Opens a connection for an outgoing request: returns a callback that closes it, or null at the connection limit. */
  openOutgoing(): (() => void) | null {
    if (!this.acquireConnection()) return null;
    this.spend(this.bounds.costs.callUs);
    this.outgoing += 1;
    return () => {
      this.outgoing -= 1;
    };
  }

  /** Pauses the process while its clock keeps running. */
  freeze(forUs: number): void {
    this.idleAt = Math.max(this.idleAt, this.timeline.now + forUs);
  }

  /** Closes the idle connection from a removed host. */
  forget(from: string): void {
    this.idleConnections.delete(from);
  }

  /** Resets connections and backlog when the process is restarted. */
  restart(): void {
    this.idleConnections.clear();
    this.incoming = 0;
    this.outgoing = 0;
    this.idleAt = this.timeline.now;
  }

  /** Memory in bytes of a process with this number of machines and tasks; records when it exceeds the limit. */
  bytes(machines: number, tasks: number): number {
    const { costs, memoryBytes } = this.bounds;
    const bytes =
      costs.baseBytes +
      this.connections * costs.connectionBytes +
      machines * costs.machineBytes +
      tasks * costs.taskBytes;
    if (bytes > memoryBytes) this.reachedAt.memory ??= this.timeline.now;
    return bytes;
  }

  /** Usage as fractions of the limits. */
  load(bytes: number): ProcessLoad {
    const { memoryBytes, maxConnections } = this.bounds;
    return { memory: bytes / memoryBytes, sockets: this.connections / maxConnections };
  }

  /** A timer whose callback runs once the processor's backlog at its expiry has been worked off. */
  after(delay: Micros, run: () => void): { cancel(): void } {
    let timer = this.timeline.after(delay, () => {
      const { nextSlot } = this;
      if (nextSlot <= this.timeline.now) run();
      else timer = this.timeline.at(nextSlot, run);
    });
    return { cancel: () => timer.cancel() };
  }
}
