/** Settings of one controller and what it has to know of its deployment, as the rest of the program uses them. */
import type { Resources } from "../protocol/resources.js";
import type { Micros } from "../transport/clock.js";

/** Another controller of the deployment. */
export interface PeerSettings {
  readonly label: string;
  readonly zone: string;
  /** Where it is reached, "host:port". */
  readonly address: string;
}

/** A team and its quota. */
export interface Team {
  readonly name: string;
  readonly guaranteed: Resources;
  /** In thousandths; null: no limit. Memory is never limited by a team. */
  readonly limit: { readonly cpu: number | null; readonly gpu: number | null };
}

/** What the users expect of a class of jobs, as far as the scheduler makes use of it. */
export interface ServiceLevelObjective {
  readonly kind: string;
  /** Null: all classes. */
  readonly jobClass: string | null;
  readonly within: Micros | null;
  /** Share of the jobs, from 0 to 1, for which the objective has to be met. */
  readonly share: number;
}

/** Times that the deployment promises of and to workers. */
export interface WorkerSettings {
  /** Time from one heartbeat of a worker to the next. */
  readonly heartbeatInterval: Micros;
  /** A worker that has had no answer for this time ends its tasks. */
  readonly lease: Micros;
  /** The tasks of a cancelled job are gone within this time. */
  readonly cancellationBound: Micros;
}

/** Limits of the key-value store. Of those now and those announced for later, which come without notice, the lower. */
export interface StoreSettings {
  readonly requestsPerS: number;
  readonly writesPerS: number;
  readonly valueBytes: number;
  /** Writes that one transaction may have. */
  readonly transactionWrites: number;
  /** The limit on values now. How task ranges are cut, which is not on record, follows from it for every version. */
  readonly layoutBytes: number;
}

/** Limits of the cloud. */
export interface CloudSettings {
  readonly requestsPerS: number;
  /** How long a change may be missing from the cloud's lists. */
  readonly listLag: Micros;
}

/** What the process of a controller may use. */
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
  /** Controllers of the deployment, this one included. */
  readonly controllers: number;
  /** Time of day differs from the true one by this much at most. */
  readonly maxClockError: Micros;
  readonly zones: readonly string[];
  /** By name. */
  readonly teams: ReadonlyMap<string, Team>;
  readonly objectives: readonly ServiceLevelObjective[];
  readonly workers: WorkerSettings;
  readonly store: StoreSettings;
  readonly cloud: CloudSettings;
  readonly quota: ProcessQuota;
}
