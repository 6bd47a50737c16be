import type { Uint64 } from "../../protocol/json.js";
import type { Micros } from "../../transport/clock.js";
import type { DagRun } from "../run/dag-run.js";
import type { Limits } from "../run/retry.js";
import type { LoadedRun } from "./loading.js";
import type { RunHeader } from "./records.js";

/** In-memory state of an active run at its shard leader; discarded when the lease is lost. */
export interface LiveRun {
  readonly id: string;
  header: RunHeader;
  version: Uint64;
  /** Whether its steps may start: at most `max_active_runs` runs of its DAG are active. */
  active: boolean;
  loading: boolean;
  loaded: LoadedRun | null;
  engine: DagRun | null;
  limits: readonly Limits[];
  order: Uint32Array;
  /** Job ids of open steps, by step. */
  readonly openJobs: Map<number, string>;
  /** Steps whose job is being submitted. */
  readonly submitting: Set<number>;
  /** Pool names of the steps that hold a pool slot, by step. */
  readonly poolSlots: Map<number, string>;
  /** Time that the current attempt has been running, by step; only for steps with an execution timeout. */
  readonly runTimes: Map<number, Micros>;
  /** Whether any step has an execution timeout. */
  hasStepTimeouts: boolean;
  /** Whether a write of the header or the segments is in progress. */
  writing: boolean;
  /** Whether the check that precedes the end of a halted run is in progress. */
  endingHalted: boolean;
  /** Handlers of jobs that ended while the run was being loaded; called after the load. */
  deferredEvents: (() => void)[];
  /** Counts last written to the summary record, comma-separated; empty: none. */
  lastSummary: string;
  /** Time of the last summary write, or of the creation of this object. */
  summaryWrittenAt: Micros;
  readonly firstSeenAt: Micros;
}

/** Key of the run's DAG for `max_active_runs`; DAGs of different owners are distinct even if their ids are equal. */
export const dagKey = ({ owner, dag }: RunHeader): string => JSON.stringify([owner, dag]);

export const newRun = (id: string, header: RunHeader, version: Uint64, now: Micros): LiveRun => ({
  id,
  header,
  version,
  active: false,
  loading: false,
  loaded: null,
  engine: null,
  limits: [],
  order: new Uint32Array(0),
  openJobs: new Map(),
  submitting: new Set(),
  poolSlots: new Map(),
  runTimes: new Map(),
  hasStepTimeouts: false,
  writing: false,
  endingHalted: false,
  deferredEvents: [],
  lastSummary: "",
  summaryWrittenAt: now,
  firstSeenAt: now,
});
