/** What the parts of a controller share: services, the lease of a shard, and the context of the shard's leader. */
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

/** The services that every part of a controller uses. */
export interface Services {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Settings;
  readonly options: OperatorOptions;
  readonly http: HttpClient;
  readonly store: KeyValueStore;
  readonly transactions: TransactionBatcher;
  readonly cache: WatchCache;
  /** Dependencies between current jobs; kept by every controller. */
  readonly dependencies: DependencyGraph;
  /** A random number, uniform in [0, 1). */
  readonly random: () => number;
  readonly eventListener: ClusterEventListener;
  readonly loadShedder: LoadShedder;
  /** Time of day in milliseconds, true within `settings.clockError`; null if there is none to rely on. */
  readonly wallClock: (() => number) | null;
  /** Told how many machines and tasks each round and scale plan has examined; null: not wanted. */
  readonly onInspected: ((looks: number) => void) | null;
  /** When this controller's own path to the workers was last found cut or restored; null: never, or there is no mesh. */
  readonly workerPathChangedAt: () => Micros | null;
}

/** The lease of a shard (a set of machines). `epoch` is fresh at every acquisition. */
export interface ShardLease {
  readonly shard: number;
  readonly epoch: number;
  readonly key: string;
  readonly version: Uint64;
  /** By this process's steady clock, counted from before the request that renewed the lease was sent. */
  isValid(): boolean;
}

/** The services, with the shard and what its leader's collaborators ask of each other. */
export interface ShardContext extends Services {
  readonly shard: ShardState;
  readonly lease: ShardLease;
  /** Another controller leads the shard, or may lead it: nothing more may be done in the shard's name. */
  onFenced(): void;
  /** The state in memory is wrong: acquire the shard under a fresh epoch, since commands of this one may be in flight. */
  onInconsistent(): void;
  /** Capacity or work has appeared: a placement round is due. */
  scheduleRound(): void;
  /** The machine has commands to be sent. */
  scheduleCommands(machine: Machine): void;
  /** The machine ought to be up, but this leader has no heartbeat of it. */
  queryStatus(machine: Machine): void;
  /** Sends the worker this lease's fencing token at once. */
  announceFencingToken(machine: Machine): void;
  /** False while the machine's zone is on record as unreachable. */
  mayStartTasks(machine: Machine): boolean;
  /** The job's outcome is on record. */
  onJobEnded(job: Job, end: OutcomeRecord): void;
  /** An attempt of the task has failed. */
  onTaskFailed(task: Task, reason: ExitReason): void;
}

/**
 * The delay before the next attempt: `first` doubled with each failure, at most `most`.
 *
 * @param failures the number of attempts that have failed since the last success
 */
export const exponentialBackoff = (failures: number, first: Micros, most: Micros): Micros =>
  Math.min(most, first * 2 ** Math.min(20, failures)) as Micros;
