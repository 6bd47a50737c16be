/** Settings of one controller and of its deployment, in the form that the rest of the program uses. */
import type { Resources } from "../protocol/resources.js";
import type { Micros } from "../transport/clock.js";

/** Another controller of the deployment. */
export interface PeerSettings {
  readonly label: string;
  readonly zone: string;
  /** Address for requests to this peer, "host:port". */
  readonly address: string;
}

/** A team and its quota. */
export interface Team {
  readonly name: string;
  readonly guaranteed: Resources;
  /** Quota limit, in thousandths of a CPU or GPU; null: no limit. Memory is not limited by team. */
  readonly limit: { readonly cpu: number | null; readonly gpu: number | null };
}

/** Service-level objective for one or all job classes, as far as the scheduler uses it. */
export interface ServiceLevelObjective {
  readonly kind: string;
  /** Null: all job classes. */
  readonly jobClass: string | null;
  readonly within: Micros | null;
  /** Share of the jobs that have to meet the objective, from 0 to 1. */
  readonly share: number;
}

/** Time bounds of the deployment that concern workers. */
export interface WorkerSettings {
  /** Time between two heartbeats of a worker. */
  readonly heartbeatInterval: Micros;
  /** A worker that has received no response for this time kills its tasks. */
  readonly lease: Micros;
  /** The tasks of a cancelled job have ended within this time. */
  readonly cancellationBound: Micros;
}

/** Limits of the key-value store: the lower of current and announced ones, since these take effect without notice. */
export interface StoreSettings {
  readonly requestsPerS: number;
  readonly writesPerS: number;
  readonly valueBytes: number;
  /** Most writes in one transaction. */
  readonly transactionWrites: number;
  /**
   * The current limit on values, also if a lower one is announced. The size of task ranges is not stored: every version
   * of the program derives it from this limit.
   */
  readonly currentValueBytes: number;
}

/** Limits of the cloud. */
export interface CloudSettings {
  readonly requestsPerS: number;
  /** Longest time until a change appears in the cloud's list responses. */
  readonly listLag: Micros;
}

/** Resource limits of a controller's process. */
export interface ProcessQuota {
  readonly memoryMb: number;
  readonly maxConnections: number;
}

/** All settings of a controller. Addresses are "host:port". */
export interface Settings {
  readonly label: string;
  readonly zone: string;
  readonly clientListen: string;
  readonly meshListen: string;
  readonly peers: readonly PeerSettings[];
  readonly cloudAddress: string;
  readonly storeAddress: string;
  /** Number of controllers in the deployment, including this one. */
  readonly controllers: number;
  /** Maximum difference of wall-clock time from true time. */
  readonly maxClockError: Micros;
  readonly zones: readonly string[];
  /** Teams by name. */
  readonly teams: ReadonlyMap<string, Team>;
  readonly objectives: readonly ServiceLevelObjective[];
  readonly workers: WorkerSettings;
  readonly store: StoreSettings;
  readonly cloud: CloudSettings;
  readonly quota: ProcessQuota;
}
