import type { Resources } from "../protocol/resources.js";
import type { Micros } from "../transport/clock.js";

export interface PeerSettings {
  readonly label: string;
  readonly zone: string;
  readonly address: string;
}

export interface Team {
  readonly name: string;
  readonly guaranteed: Resources;
  /** Null: no limit. Memory is never limited by a team. */
  readonly limit: { readonly cpu: number | null; readonly gpu: number | null };
}

/** What the users expect of a class, as far as the scheduler makes use of it. */
export interface ServiceLevelObjective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly within: Micros | null;
  readonly share: number;
}

export interface Settings {
  readonly label: string;
  readonly zone: string;
  readonly clientListen: string;
  readonly meshListen: string;
  readonly peers: readonly PeerSettings[];
  readonly cloudAddress: string;
  readonly storeAddress: string;
  readonly controllers: number;
  /** Time of day differs from the true one by this much at most. */
  readonly maxClockError: Micros;
  readonly zones: readonly string[];
  readonly teams: ReadonlyMap<string, Team>;
  readonly objectives: readonly ServiceLevelObjective[];
  readonly workers: { readonly heartbeatInterval: Micros; readonly lease: Micros; readonly cancellationBound: Micros };
  readonly store: {
    readonly requestsPerS: number;
    readonly writesPerS: number;
    /** Of the limits now and those announced (`state.next`) the lower ones, from the beginning: they come without notice. */
    readonly valueBytes: number;
    readonly transactionWrites: number;
    /** How ranges of tasks are cut, which is not on record, follows from this limit for every version. */
    readonly layoutBytes: number;
  };
  readonly cloud: { readonly requestsPerS: number; readonly listLag: Micros };
  readonly quota: { readonly memoryMb: number; readonly maxConnections: number };
}
