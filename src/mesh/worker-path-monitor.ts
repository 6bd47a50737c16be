/** Detects from missing heartbeats that the direct links to the workers fail. */
import { type Clock, type Micros, seconds } from "../transport/clock.js";
import { WorkerLinkStatus } from "./link-status.js";

/** Number of consecutive heartbeats, of all workers together, that must be missing before the links count as failed. */
const MISSED_HEARTBEATS = 8;
const MIN_WORKER_SILENCE = seconds(1.5);
/** In heartbeat intervals. With few workers, failed links must be detected before each worker is marked unreachable. */
const MAX_WORKER_SILENCE_INTERVALS = 1.3;
/** With fewer machines, missing heartbeats are no evidence of a failed link: all machines may be down. */
const MIN_MACHINES = 3;
/** No detection for this long after a shard is acquired, since its workers must first discover the new leader. */
const NEW_LEADER_GRACE = seconds(3);

/** Summary of the shards led by this controller. */
export interface Leadership {
  /** Number of machines that are up, in all shards led here. */
  readonly machines: number;
  /** When the most recently acquired of the shards was acquired. */
  readonly since: Micros;
}

/** Dependencies of the monitor. */
export interface WorkerPathMonitorOptions {
  readonly clock: Clock;
  /** Interval of the workers' heartbeats. */
  readonly heartbeatInterval: Micros;
  /** Null: this controller leads no shard. */
  readonly leadership: () => Leadership | null;
}

/** Determines whether this controller is cut off from the workers of its shards. */
export class WorkerPathMonitor {
  private lastDirectHeartbeatAt: Micros;
  private stalledUntil: Micros;
  private cutOff = false;
  private latestChangeAt: Micros | null = null;

  constructor(private readonly options: WorkerPathMonitorOptions) {
    this.lastDirectHeartbeatAt = options.clock.now();
    this.stalledUntil = options.clock.now();
  }

  /** Whether heartbeats are expected over direct links, but none are received. */
  get isCutOff(): boolean {
    return this.cutOff;
  }

  /** When `isCutOff` last changed; null: never. */
  get changedAt(): Micros | null {
    return this.latestChangeAt;
  }

  /** Status of the links to the workers, as shown to operators. */
  get status(): WorkerLinkStatus {
    if (this.options.leadership() === null) return WorkerLinkStatus.NotLeader;
    return this.cutOff ? WorkerLinkStatus.CutOff : WorkerLinkStatus.Reachable;
  }

  /** Records a worker heartbeat received over a direct link. */
  recordDirectHeartbeat(): void {
    this.lastDirectHeartbeatAt = this.options.clock.now();
  }

  /** The event loop was stalled until `now`: heartbeats received meanwhile have not been processed yet. */
  recordStall(now: Micros): void {
    this.stalledUntil = now;
  }

  /** Must be called once per heartbeat period of the mesh. */
  update(now: Micros): void {
    const cutOff = this.isOverdue(now);
    if (cutOff !== this.cutOff) this.latestChangeAt = now;
    this.cutOff = cutOff;
  }

  private isOverdue(now: Micros): boolean {
    const leadership = this.options.leadership();
    if (leadership === null || leadership.machines < MIN_MACHINES) return false;
    const silentSince = Math.max(this.lastDirectHeartbeatAt, this.stalledUntil);
    return now - silentSince > this.silenceTimeout(leadership) && now - leadership.since > NEW_LEADER_GRACE;
  }

  /** Time without any direct heartbeat, in microseconds, after which the links count as failed. */
  private silenceTimeout({ machines }: Leadership): number {
    const { heartbeatInterval } = this.options;
    const missed = (MISSED_HEARTBEATS * heartbeatInterval) / machines;
    return Math.min(heartbeatInterval * MAX_WORKER_SILENCE_INTERVALS, Math.max(MIN_WORKER_SILENCE, missed));
  }
}
