import type { Uint64 } from "../../protocol/json.js";
import type { Micros } from "../../transport/clock.js";
import type { DagRun } from "../run/dag-run.js";
import type { Limits } from "../run/retry.js";
import type { Loaded } from "./loading.js";
import type { Header } from "./records.js";

/** A run under way, as its block's holder has it. Forgotten with the lease. */
export interface LiveRun {
  readonly id: string;
  header: Header;
  version: Uint64;
  /** May have steps under way: not more than `max_active_runs` of its DAG may. */
  active: boolean;
  loading: boolean;
  loaded: Loaded | null;
  engine: DagRun | null;
  limits: readonly Limits[];
  order: Uint32Array;
  /** Jobs of open steps. */
  readonly open: Map<number, string>;
  /** Steps whose job is being submitted. */
  readonly starting: Set<number>;
  /** Steps that hold a slot of a pool. */
  readonly pooled: Map<number, string>;
  /** Running time of the present attempt, where that is limited. */
  readonly spent: Map<number, Micros>;
  timed: boolean;
  writing: boolean;
  settling: boolean;
  /** What has ended while the run was being loaded. */
  late: (() => void)[];
  summed: string;
  summedAt: Micros;
  readonly seenAt: Micros;
}

/** Runs of one DAG take turns where it asks for that; a DAG is its owner's. */
export const dagOf = ({ owner, dag }: Header): string => JSON.stringify([owner, dag]);

export const newRun = (id: string, header: Header, version: Uint64, now: Micros): LiveRun => ({
  id,
  header,
  version,
  active: false,
  loading: false,
  loaded: null,
  engine: null,
  limits: [],
  order: new Uint32Array(0),
  open: new Map(),
  starting: new Set(),
  pooled: new Map(),
  spent: new Map(),
  timed: false,
  writing: false,
  settling: false,
  late: [],
  summed: "",
  summedAt: now,
  seenAt: now,
});
