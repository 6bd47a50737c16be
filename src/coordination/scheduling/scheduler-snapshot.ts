/** The input of scheduling decisions. */
import type { ShardState } from "../../cluster/shard-state.js";
import type { OperatorOptions } from "../../settings/options.js";
import type { Settings } from "../../settings/settings.js";
import type { Micros } from "../../transport/clock.js";
import type { InspectionCounter } from "./placement/ranking.js";

/**
 * The input of scheduling decisions, which do not modify it. Decisions are returned as actions with their reasons; the
 * caller applies each action before it requests the next one, so that later decisions take it into account. The
 * controller applies them through records and commands; the fast what-if model applies them directly.
 */
export interface SchedulerSnapshot {
  readonly now: Micros;
  readonly shard: ShardState;
  readonly settings: Pick<Settings, "teams" | "objectives">;
  readonly options: OperatorOptions;
  /** A machine gets no new tasks once its last heartbeat is older than this, in microseconds. */
  readonly heartbeatTimeout: number;
  /** A machine gets no new tasks until its worker has reported a fencing token at least this high. */
  readonly minFencingToken: number;
  /** The unfinished demand of entitled jobs exceeds all capacity: each team gets the same share of its guarantee. */
  readonly guaranteesOvercommitted: boolean;
  /** The maximum number of victim searches in a round. */
  readonly maxVictimSearches: number;
  /** How many more task ranges of urgent and of other jobs may have placements that are not on record yet. */
  readonly recordBudget: Readonly<Record<"urgent" | "normal", number>>;
  /** Counts the machines and tasks inspected, as a measure of a decision's cost. */
  readonly inspection: InspectionCounter;
}
