/** Preemption: running tasks are stopped, where the rules allow it, for tasks that found no capacity. */
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { allowedStarts } from "../workers/failure-attribution.js";
import type { CandidateIndex } from "./candidate-index.js";
import { zoneCounts } from "./eligibility.js";
import { subtractResources } from "./placement/bfgp.js";
import type { PreemptionBudget } from "./preemption-budget.js";
import { checkpointGraceS } from "./preemption-cost.js";
import type { PromisedCapacity } from "./promised-capacity.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { findCheapestVictims, type PreemptionReason, type Victim, type VictimSet } from "./victim-search.js";

/** A preempted task is not placed again, and a task that was preempted for is not searched for again, before this. */
const PREEMPTION_PAUSE = seconds(3);
/** The same for tasks that are moved. */
const MOVE_PAUSE = seconds(0.3);
/** The next search for a task after one in vain. */
const SEARCH_RETRY_DELAY = seconds(1);

/** A task that is to be stopped for another one. */
export interface PreemptedTask {
  readonly task: Task;
  /** Time to save its progress, in seconds. */
  readonly graceS: number;
  /** Not to be placed again before. */
  readonly notBefore: Micros;
  readonly reason: PreemptionReason;
}

/** What preemption decides. */
export type PreemptAction =
  | {
      readonly kind: "preempt";
      readonly by: Task;
      readonly machine: Machine;
      readonly victims: readonly PreemptedTask[];
    }
  /** No victims are to be searched for the task again before. */
  | { readonly kind: "postpone search"; readonly task: Task; readonly notBefore: Micros };

/** What preemption keeps from round to round. */
export interface PreemptionState {
  readonly promisedCapacity: PromisedCapacity;
  readonly preemptionBudget: PreemptionBudget;
}

const countTask = (zoneTaskCounts: Map<string, number>, { zone }: Machine): void => {
  zoneTaskCounts.set(zone, (zoneTaskCounts.get(zone) ?? 0) + 1);
};

const asPreempted = ({ task, reason }: Victim, now: Micros): PreemptedTask => ({
  task,
  graceS: checkpointGraceS(task.job.spec),
  // Without a pause it could be back before the other has come.
  notBefore: (now + (reason === "moved" ? MOVE_PAUSE : PREEMPTION_PAUSE)) as Micros,
  reason,
});

/** Nothing else of this round is to count on the machine's capacity. */
const removeCandidate = ({ pools }: CandidateIndex, machine: Machine): void => {
  for (const { candidates } of pools) {
    const index = candidates.findIndex((candidate) => candidate.machine === machine);
    if (index >= 0) candidates.splice(index, 1);
  }
};

/** Preempts the tasks of the set for the task. */
function* preempt(
  { now }: SchedulerSnapshot,
  { promisedCapacity }: PreemptionState,
  task: Task,
  candidateIndex: CandidateIndex,
  { machine, free, victims }: VictimSet,
): Generator<PreemptAction, void> {
  promisedCapacity.promise(machine, subtractResources(free, task.job.spec.demand), now);
  const preempted = victims.map((victim) => asPreempted(victim, now));
  for (const { task: victim } of preempted) candidateIndex.guarantees.taskStopped(victim);
  yield { kind: "preempt", by: task, machine, victims: preempted };
  removeCandidate(candidateIndex, machine);
}

/** Preempts the cheapest set of tasks on one machine that makes capacity for the task. Returns whether there was one. */
function* searchAndPreempt(
  snapshot: SchedulerSnapshot,
  state: PreemptionState,
  task: Task,
  candidateIndex: CandidateIndex,
  zoneTaskCounts: Map<string, number>,
): Generator<PreemptAction, boolean> {
  candidateIndex.preemptionSearches += 1;
  const cheapest = findCheapestVictims(snapshot, task, candidateIndex, zoneTaskCounts);
  const pause = cheapest === null ? SEARCH_RETRY_DELAY : PREEMPTION_PAUSE;
  yield { kind: "postpone search", task, notBefore: (snapshot.now + pause) as Micros };
  if (cheapest === null) return false;
  const budgeted = cheapest.victims.filter(({ reason }) => reason !== "outranked").length;
  if (!state.preemptionBudget.take(budgeted)) return false;
  countTask(zoneTaskCounts, cheapest.machine);
  yield* preempt(snapshot, state, task, candidateIndex, cheapest);
  return true;
}

/** Lets the task wait for capacity that was promised already. Returns whether there was enough. */
function* usePromisedCapacity(
  { now }: SchedulerSnapshot,
  { promisedCapacity }: PreemptionState,
  task: Task,
  zoneTaskCounts: Map<string, number>,
): Generator<PreemptAction, boolean> {
  const machine = promisedCapacity.take(task, zoneTaskCounts);
  if (machine === null) return false;
  countTask(zoneTaskCounts, machine);
  yield { kind: "postpone search", task, notBefore: (now + PREEMPTION_PAUSE) as Micros };
  return true;
}

/**
 * Makes capacity for the task that found none and for the rest of its job: after a wave of losses hundreds wait at once.
 * Ends with the first task for which none could be made.
 */
export function* preemptFor(
  snapshot: SchedulerSnapshot,
  state: PreemptionState,
  unplaced: Task,
  candidateIndex: CandidateIndex,
): Generator<PreemptAction> {
  const { now, maxPreemptionSearches } = snapshot;
  const { job } = unplaced;
  const zoneTaskCounts = zoneCounts(job);
  state.promisedCapacity.expire(now);
  const maxStarts = allowedStarts(job, now);
  let served = 0;
  for (const task of job.waitingTasks) {
    if (candidateIndex.preemptionSearches >= maxPreemptionSearches || served >= maxStarts) return;
    if (task.earliestStart > now || task.nextPreemptionSearch > now) continue;
    const found =
      (yield* usePromisedCapacity(snapshot, state, task, zoneTaskCounts)) ||
      (yield* searchAndPreempt(snapshot, state, task, candidateIndex, zoneTaskCounts));
    if (!found) return;
    served += 1;
  }
}
