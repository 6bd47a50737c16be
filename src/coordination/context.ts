/** Interfaces shared within a controller: its services, the lease of a shard, and the context of the shard's leader. */
import type { DependencyGraph } from "../cluster/dependency-graph.js";
import type { ClusterEventListener } from "../cluster/events.js";
import type { Job } from "../cluster/job.js";
import type { Machine } from "../cluster/machine.js";
import type { ShardState } from "../cluster/shard-state.js";
import type { Task } from "../cluster/task.js";
import type { Uint64 } from "../protocol/json.js";
import type { ExitReason } from "../protocol/worker.js";
import type { OperatorOptions } from "../settings/options.js";
import type { Settings } from "../settings/settings.js";
import type { KeyValueStore } from "../storage/key-value-store.js";
import type { OutcomeRecord } from "../storage/outcome-records.js";
import type { TransactionBatcher } from "../storage/transaction-batcher.js";
import type { WatchCache } from "../storage/watch-cache.js";
import type { Clock, Micros } from "../transport/clock.js";
import type { HttpClient } from "../transport/http.js";
import type { Log } from "../transport/log.js";
import type { LoadShedder } from "./overload/load-shedder.js";

/** The services that all components of a controller use. */
export interface Services {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Settings;
  readonly options: OperatorOptions;
  readonly http: HttpClient;
  readonly store: KeyValueStore;
  readonly transactions: TransactionBatcher;
  readonly cache: WatchCache;
  /** Dependencies between current jobs; every controller maintains the whole graph. */
  readonly dependencies: DependencyGraph;
  /** A random number, uniform in [0, 1). */
  readonly random: () => number;
  readonly eventListener: ClusterEventListener;
  readonly loadShedder: LoadShedder;
  /** The most tasks that the leader of a shard holds in memory. */
  readonly maxTasks: number;
  /** Wall-clock time in milliseconds, accurate within `settings.clockError`; null: no reliable clock is available. */
  readonly wallClock: (() => number) | null;
  /** Called after each round and scale plan with the number of machines and tasks it examined; null: no listener. */
  readonly onInspected: ((examined: number) => void) | null;
  /** When this controller's own path to the workers was last detected as lost or restored; null: never, or no mesh. */
  readonly workerPathChangedAt: () => Micros | null;
}

/** The lease of a shard (a set of machines). Each acquisition has a new, higher `epoch`. */
export interface ShardLease {
  readonly shard: number;
  readonly epoch: number;
  readonly key: string;
  readonly version: Uint64;
  /**
   * Whether the lease is valid by this process's monotonic clock, counted from before its last renewal request was
   * sent.
   */
  isValid(): boolean;
}

/** The services, the shard and its lease, and the calls between the components of the shard's leader. */
export interface ShardContext extends Services {
  readonly shard: ShardState;
  readonly lease: ShardLease;
  /** Another controller leads the shard, or may lead it: this one must stop acting as its leader. */
  onFenced(): void;
  /**
   * The in-memory state is wrong: reacquire the shard under a new epoch, since commands of this one may be in flight.
   */
  onInconsistent(): void;
  /** Schedules a placement round, because capacity has become free or tasks are waiting. */
  scheduleRound(): void;
  /** Schedules sending of the commands that are pending for the machine. */
  scheduleCommands(machine: Machine): void;
  /** Enqueues a status query to a worker that should be up but from which this leader has received no heartbeat. */
  queryStatus(machine: Machine): void;
  /** Sends this lease's fencing token to the worker without waiting for its next heartbeat. */
  announceFencingToken(machine: Machine): void;
  /** Whether tasks may be started on the machine; false while its zone is recorded as unreachable. */
  mayStartTasks(machine: Machine): boolean;
  /** Called once the job's outcome record has been written. */
  onJobEnded(job: Job, end: OutcomeRecord): void;
  /** Called when an attempt of the task has failed. */
  onTaskFailed(task: Task, reason: ExitReason): void;
}

/**
 * The delay before the next attempt: `initial`, doubled with each failure, at most `max`.
 *
 * @param failures the number of attempts that have failed since the last success
 */
export const exponentialBackoff = (failures: number, initial: Micros, max: Micros): Micros =>
  Math.min(max, initial * 2 ** Math.min(20, failures)) as Micros;
