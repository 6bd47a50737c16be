/** The input of scheduling decisions. */
import type { ShardState } from "../../cluster/shard-state.js";
import type { OperatorOptions } from "../../settings/options.js";
import type { Settings } from "../../settings/settings.js";
import type { Micros } from "../../transport/clock.js";
import type { InspectionCounter } from "./placement/ranking.js";

/**
 * What decisions are made from. They change nothing in it: what is to happen comes out as actions with their reasons,
 * each of which is carried out before the next one is asked for, so that it counts for what follows. The controller's
 * loops carry them out through records and commands, the fast model of what-if at once.
 */
export interface SchedulerSnapshot {
  readonly now: Micros;
  readonly shard: ShardState;
  readonly settings: Pick<Settings, "teams" | "objectives">;
  readonly options: OperatorOptions;
  /** A machine without a heartbeat for so long gets no new tasks, in microseconds. */
  readonly heartbeatTimeout: number;
  /** A worker that has not seen this fencing token is not known well enough. */
  readonly firstFencingToken: number;
  /** Claims within guarantees exceed all capacity: each team is served the same share of its own. */
  readonly guaranteesOvercommitted: boolean;
  /** Searches for victims that a round may make. */
  readonly maxPreemptionSearches: number;
  /** Ranges that may yet come to wait for their placements to be on record: of urgent work, and of other work. */
  readonly recordBudget: Readonly<Record<"urgent" | "normal", number>>;
  /** Counts the machines and tasks inspected. */
  readonly inspection: InspectionCounter;
}
