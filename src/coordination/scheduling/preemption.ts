/** Preemption: stops running tasks, where the rules allow it, for tasks that found no capacity. */
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { allowedStarts } from "../workers/failure-attribution.js";
import type { CandidateIndex } from "./candidate-index.js";
import { placedTasksByZone } from "./eligibility.js";
import { subtractResources } from "./placement/bfgp.js";
import type { PreemptionBudget } from "./preemption-budget.js";
import { checkpointGraceS } from "./preemption-cost.js";
import type { PromisedCapacity } from "./promised-capacity.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { findCheapestVictims, type PreemptionReason, type Victim, type VictimSet } from "./victim-search.js";

/** Delay before a preempted task may be placed again, and before victims are searched again for the same task. */
const PREEMPTION_DELAY = seconds(3);
/** Delay before a moved task may be placed again. */
const MOVE_DELAY = seconds(0.3);
/** Delay before victims are searched again for a task after a search that found none. */
const SEARCH_RETRY_DELAY = seconds(1);

/** A task that is to be stopped for another task. */
export interface PreemptedTask {
  readonly task: Task;
  /** The time given to it to write a checkpoint, in seconds. */
  readonly graceS: number;
  /** The earliest time at which it may be placed again. */
  readonly notBefore: Micros;
  readonly reason: PreemptionReason;
}

/** A decision of preemption. */
export type PreemptAction =
  | {
      readonly kind: "preempt";
      readonly by: Task;
      readonly machine: Machine;
      readonly victims: readonly PreemptedTask[];
    }
  /** No victims are searched for the task again before `notBefore`. */
  | { readonly kind: "postpone search"; readonly task: Task; readonly notBefore: Micros };

/** The state of preemption that is kept between rounds. */
export interface PreemptionState {
  readonly promisedCapacity: PromisedCapacity;
  readonly preemptionBudget: PreemptionBudget;
}

const countTaskInZone = (zoneTaskCounts: Map<string, number>, { zone }: Machine): void => {
  zoneTaskCounts.set(zone, (zoneTaskCounts.get(zone) ?? 0) + 1);
};

const toPreemptedTask = ({ task, reason }: Victim, now: Micros): PreemptedTask => ({
  task,
  graceS: checkpointGraceS(task.job.spec),
  // Without a pause it could take its place again before the other task is placed there.
  notBefore: (now + (reason === "moved" ? MOVE_DELAY : PREEMPTION_DELAY)) as Micros,
  reason,
});

/** Removes the machine from the candidates, so that no other task of this round is placed on it. */
const removeCandidate = ({ pools }: CandidateIndex, machine: Machine): void => {
  for (const { candidates } of pools) {
    const index = candidates.findIndex((candidate) => candidate.machine === machine);
    if (index >= 0) candidates.splice(index, 1);
  }
};

/** Preempts the victims for the task, and promises the rest of the freed capacity to others. */
function* preempt(
  { now }: SchedulerSnapshot,
  { promisedCapacity }: PreemptionState,
  task: Task,
  candidateIndex: CandidateIndex,
  { machine, free, victims }: VictimSet,
): Generator<PreemptAction, void> {
  promisedCapacity.promise(machine, subtractResources(free, task.job.spec.demand), now);
  const preempted = victims.map((victim) => toPreemptedTask(victim, now));
  for (const { task: victim } of preempted) candidateIndex.guarantees.recordStop(victim);
  yield { kind: "preempt", by: task, machine, victims: preempted };
  removeCandidate(candidateIndex, machine);
}

/** Preempts the cheapest set of victims on one machine that makes capacity for the task. Returns whether it did. */
function* searchAndPreempt(
  snapshot: SchedulerSnapshot,
  state: PreemptionState,
  task: Task,
  candidateIndex: CandidateIndex,
  zoneTaskCounts: Map<string, number>,
): Generator<PreemptAction, boolean> {
  candidateIndex.preemptionSearches += 1;
  const cheapest = findCheapestVictims(snapshot, task, candidateIndex, zoneTaskCounts);
  const delay = cheapest === null ? SEARCH_RETRY_DELAY : PREEMPTION_DELAY;
  yield { kind: "postpone search", task, notBefore: (snapshot.now + delay) as Micros };
  if (cheapest === null) return false;
  const budgeted = cheapest.victims.filter(({ reason }) => reason !== "outranked").length;
  if (!state.preemptionBudget.tryTake(budgeted)) return false;
  countTaskInZone(zoneTaskCounts, cheapest.machine);
  yield* preempt(snapshot, state, task, candidateIndex, cheapest);
  return true;
}

/** Lets the task wait for capacity that earlier preemptions are about to free. Returns whether there was enough. */
function* usePromisedCapacity(
  { now }: SchedulerSnapshot,
  { promisedCapacity }: PreemptionState,
  task: Task,
  zoneTaskCounts: Map<string, number>,
): Generator<PreemptAction, boolean> {
  const machine = promisedCapacity.take(task, zoneTaskCounts);
  if (machine === null) return false;
  countTaskInZone(zoneTaskCounts, machine);
  yield { kind: "postpone search", task, notBefore: (now + PREEMPTION_DELAY) as Micros };
  return true;
}

/**
 * Preempts for the task that found no capacity and for the other waiting tasks of its job, since hundreds of them may
 * wait after many machines are lost. Ends at the first task for which no capacity could be made.
 */
export function* preemptFor(
  snapshot: SchedulerSnapshot,
  state: PreemptionState,
  unplaced: Task,
  candidateIndex: CandidateIndex,
): Generator<PreemptAction> {
  const { now, maxVictimSearches } = snapshot;
  const { job } = unplaced;
  const zoneTaskCounts = placedTasksByZone(job);
  state.promisedCapacity.expire(now);
  const maxStarts = allowedStarts(job, now);
  let satisfied = 0;
  for (const task of job.waitingTasks) {
    if (candidateIndex.preemptionSearches >= maxVictimSearches || satisfied >= maxStarts) return;
    if (task.earliestStart > now || task.nextPreemptionSearch > now) continue;
    const found =
      (yield* usePromisedCapacity(snapshot, state, task, zoneTaskCounts)) ||
      (yield* searchAndPreempt(snapshot, state, task, candidateIndex, zoneTaskCounts));
    if (!found) return;
    satisfied += 1;
  }
}
