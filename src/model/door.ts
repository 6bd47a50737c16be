import type { ProcessLoad } from "../coordination/overload/load-shedder.js";
import type { Micros } from "../transport/clock.js";
import type { Timeline } from "./world.js";

/** What a controller's process may use, and what things cost it. Times in microseconds of a whole core. */
export interface Bounds {
  readonly cpuShare: number;
  readonly maxConnections: number;
  /** Connections beyond this are closed with the next answer; `maxConnections` for never. */
  readonly keepConnections: number;
  readonly memoryBytes: number;
  /** Whether the controller is told of its load, and so can leave things out. */
  readonly sheds: boolean;
  readonly costs: Costs;
}

/** Measured on real sockets; docs/results.md says how. */
export interface Costs {
  /** A request taken in and answered on an open connection; a longer one costs more a kilobyte. */
  readonly requestUs: number;
  readonly kilobyteUs: number;
  /** Opening and closing a connection, or refusing one. */
  readonly connectUs: number;
  /** A request of the controller's own. */
  readonly callUs: number;
  /** A machine or task looked at in a round or plan. */
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

/** What has been used so far. */
export interface Usage {
  /** Processor time, in microseconds. */
  readonly cpuUs: number;
  readonly mostConnections: number;
  readonly refused: number;
  /** When each limit was first reached; null: never. */
  readonly reachedAt: Readonly<Record<"processor" | "sockets" | "memory", number | null>>;
}

/** A backlog of so much work counts as the processor's limit: workers give up on an answer after four seconds. */
const BEHIND_US = 1_000_000;

/**
 * Stand-in for the bounds of a controller's process: a processor of which it has a share, so that requests and timers
 * wait for their turn; connections, of which there are only so many; and memory, which ends it.
 */
export class Door {
  private freeAt = 0;
  private cpuUs = 0;
  private readonly kept = new Set<string>();
  private passing = 0;
  private out = 0;
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

  /** True time at which what is begun now gets its turn. */
  get turn(): number {
    return Math.max(this.timeline.now, this.freeAt);
  }

  get usage(): Usage {
    const { cpuUs, mostConnections, refused, reachedAt } = this;
    return { cpuUs, mostConnections, refused, reachedAt: { ...reachedAt } };
  }

  spend(us: number): void {
    this.cpuUs += us;
    this.freeAt = this.turn + us / this.bounds.cpuShare;
    if (this.freeAt - this.timeline.now > BEHIND_US) this.reachedAt.processor ??= this.timeline.now;
  }

  private get connections(): number {
    return this.kept.size + this.passing + this.out;
  }

  private count(): boolean {
    const { maxConnections } = this.bounds;
    if (this.connections >= maxConnections) {
      this.reachedAt.sockets ??= this.timeline.now;
      this.refused += 1;
      return false;
    }
    this.mostConnections = Math.max(this.mostConnections, this.connections + 1);
    return true;
  }

  /** A request arrives; null where there is no connection left for it, else how to close or keep its connection. */
  enter(from: string, bytes: number, lasting: boolean): ((close: boolean) => void) | null {
    const { costs, keepConnections } = this.bounds;
    const open = this.kept.delete(from);
    if (!open) {
      this.spend(costs.connectUs);
      if (!this.count()) return null;
    }
    this.passing += 1;
    this.spend(costs.requestUs + (costs.kilobyteUs * bytes) / 1_024);
    return (close) => {
      this.passing -= 1;
      if (lasting && !close && this.connections < keepConnections) this.kept.add(from);
    };
  }

  /** A request of its own leaves; null where there is no connection left for it. */
  leave(): (() => void) | null {
    if (!this.count()) return null;
    this.spend(this.bounds.costs.callUs);
    this.out += 1;
    return () => {
      this.out -= 1;
    };
  }

  /** The process stands still for so long; its clocks run on. */
  freeze(forUs: number): void {
    this.freeAt = Math.max(this.freeAt, this.timeline.now + forUs);
  }

  /** The host at the other end is gone. */
  forget(from: string): void {
    this.kept.delete(from);
  }

  /** The process ended and was started anew. */
  restart(): void {
    this.kept.clear();
    this.passing = 0;
    this.out = 0;
    this.freeAt = this.timeline.now;
  }

  /** Bytes held by a process that keeps so many machines and tasks. */
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

  load(bytes: number): ProcessLoad {
    const { memoryBytes, maxConnections } = this.bounds;
    return { memory: bytes / memoryBytes, sockets: this.connections / maxConnections };
  }

  /** A timer that fires once its process gets its turn. */
  after(delay: Micros, run: () => void): { cancel(): void } {
    let timer = this.timeline.after(delay, () => {
      const { turn } = this;
      if (turn <= this.timeline.now) run();
      else timer = this.timeline.at(turn, run);
    });
    return { cancel: () => timer.cancel() };
  }
}
