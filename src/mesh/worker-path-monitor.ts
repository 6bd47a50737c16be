/** Finds out whether the direct links to the workers work, from the heartbeats that ought to come over them. */
import { type Clock, type Micros, seconds } from "../transport/clock.js";
import { WorkerLinkStatus } from "./link-status.js";

/** So many heartbeats of all workers together have to be missing before a silence means anything. */
const MISSED_HEARTBEATS = 8;
const MIN_WORKER_SILENCE = seconds(1.5);
/** In heartbeat intervals: with few workers a silence is to be found before each is taken for unreachable by itself. */
const MAX_WORKER_SILENCE_INTERVALS = 1.3;
/** Fewer machines say nothing of the link: they may all be down. */
const MIN_MACHINES = 3;
/** The workers of a new leader have to find it first. */
const NEW_LEADER_GRACE = seconds(3);

/** The shards led by this controller, as far as the mesh depends on them. */
export interface Leadership {
  /** Machines that are up. */
  readonly machines: number;
  /** When the latest of the shards was acquired. */
  readonly since: Micros;
}

/** What the monitor needs. */
export interface WorkerPathMonitorOptions {
  readonly clock: Clock;
  /** Interval of the workers' heartbeats. */
  readonly heartbeatInterval: Micros;
  /** Null: no shard is led here. */
  readonly leadership: () => Leadership | null;
}

/** Whether this controller is cut off from the workers that it leads. */
export class WorkerPathMonitor {
  private lastDirectHeartbeatAt: Micros;
  private stalledUntil: Micros;
  private cutOff = false;
  private latestChangeAt: Micros | null = null;

  constructor(private readonly options: WorkerPathMonitorOptions) {
    this.lastDirectHeartbeatAt = options.clock.now();
    this.stalledUntil = options.clock.now();
  }

  /** No worker's heartbeat comes over a direct link, though some ought to. */
  get isCutOff(): boolean {
    return this.cutOff;
  }

  /** When `isCutOff` last changed; null: never. */
  get changedAt(): Micros | null {
    return this.latestChangeAt;
  }

  /** Status for operators. */
  get status(): WorkerLinkStatus {
    if (this.options.leadership() === null) return WorkerLinkStatus.NotLeader;
    return this.cutOff ? WorkerLinkStatus.CutOff : WorkerLinkStatus.Reachable;
  }

  /** A worker's heartbeat has come over a direct link. */
  recordDirectHeartbeat(): void {
    this.lastDirectHeartbeatAt = this.options.clock.now();
  }

  /** The event loop stalled until `now`: what arrived meanwhile is yet to be read. */
  recordStall(now: Micros): void {
    this.stalledUntil = now;
  }

  /** To be called once a heartbeat period of the mesh. */
  update(now: Micros): void {
    const cutOff = this.isOverdue(now);
    if (cutOff !== this.cutOff) this.latestChangeAt = now;
    this.cutOff = cutOff;
  }

  private isOverdue(now: Micros): boolean {
    const leadership = this.options.leadership();
    if (leadership === null || leadership.machines < MIN_MACHINES) return false;
    const silentSince = Math.max(this.lastDirectHeartbeatAt, this.stalledUntil);
    return now - silentSince > this.longestSilence(leadership) && now - leadership.since > NEW_LEADER_GRACE;
  }

  /** Microseconds without any heartbeat that are no reason for concern. */
  private longestSilence({ machines }: Leadership): number {
    const { heartbeatInterval } = this.options;
    const missed = (MISSED_HEARTBEATS * heartbeatInterval) / machines;
    return Math.min(heartbeatInterval * MAX_WORKER_SILENCE_INTERVALS, Math.max(MIN_WORKER_SILENCE, missed));
  }
}
