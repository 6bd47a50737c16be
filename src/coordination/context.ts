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

/** What every part of the program is handed. */
export interface Services {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Settings;
  readonly options: OperatorOptions;
  readonly http: HttpClient;
  readonly store: KeyValueStore;
  readonly transactions: TransactionBatcher;
  readonly cache: WatchCache;
  /** Which current jobs await which; kept by every controller. */
  readonly dependencies: DependencyGraph;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly eventListener: ClusterEventListener;
  readonly loadShedder: LoadShedder;
  /** Time of day in milliseconds, true within `settings.clockError`; null where there is none to rely on. */
  readonly wallClock: (() => number) | null;
  readonly onInspected: ((looks: number) => void) | null;
  /** Where controllers are connected: when the own way to the workers was last found cut, or open again. */
  readonly workerPathChangedAt: () => Micros | null;
}

/** A leased block of machines. `number` is fresh at every handover. */
export interface ShardLease {
  readonly shard: number;
  readonly epoch: number;
  readonly key: string;
  readonly version: Uint64;
  /** By this process's own clock, counted from before the request that renewed it. */
  isValid(): boolean;
}

export interface ShardContext extends Services {
  readonly shard: ShardState;
  readonly lease: ShardLease;
  /** Another holder has, or may have, the block: nothing more may be done in its name. */
  onFenced(): void;
  /** The picture is wrong: start over under a fresh number, since commands under this one may be under way. */
  onInconsistent(): void;
  /** Room or work has appeared. */
  scheduleRound(): void;
  scheduleCommands(machine: Machine): void;
  /** The machine ought to be up, but nothing has been heard of it here. */
  queryStatus(machine: Machine): void;
  /** Shows the worker our token at once. */
  announceFencingToken(machine: Machine): void;
  /** Not while the machine's zone is on record as not answered. */
  mayStartTasks(machine: Machine): boolean;
  /** The job's last word is on record. */
  onJobEnded(job: Job, end: OutcomeRecord): void;
  /** A task ended badly. */
  onTaskFailed(task: Task, reason: ExitReason): void;
}

/** Raised so often at most within one lease of a block. */
export const FENCING_SEQUENCES = 65_536;

/** Tokens stay exact as plain numbers; both parts are checked. */
export const fencingTokenOf = (lease: ShardLease, machine: Machine): number => {
  if (machine.fencing.sequence >= FENCING_SEQUENCES - 1 || lease.epoch >= 2 ** 36)
    throw new Error("token out of range");
  return lease.epoch * FENCING_SEQUENCES + machine.fencing.sequence;
};

/** What answers to reports carry: where it is in doubt whether they get there, a token that nothing else shows. */
export const responseTokenOf = (lease: ShardLease, machine: Machine): number =>
  fencingTokenOf(lease, machine) + (machine.reachability.probeToken === null ? 0 : 1);

/** Some are kept back for starts that get lost before the block is taken under a fresh number. */
export const hasFencingSequencesLeft = (machine: Machine): boolean =>
  machine.fencing.sequence < FENCING_SEQUENCES - 1_000;

export const firstFencingToken = (lease: ShardLease): number => lease.epoch * FENCING_SEQUENCES;

export const exponentialBackoff = (failures: number, first: Micros, most: Micros): Micros =>
  Math.min(most, first * 2 ** Math.min(20, failures)) as Micros;
