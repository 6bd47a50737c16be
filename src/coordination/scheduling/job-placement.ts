/** Placement of one job's waiting tasks: task by task, and range by range of its tasks. */
import type { Job } from "../../cluster/job.js";
import type { Task } from "../../cluster/task.js";
import { allowedStarts } from "../workers/failure-attribution.js";
import { type CandidateIndex, isKnownExhausted, markExhausted, zoneWithMostCapacity } from "./candidate-index.js";
import { isLimitReserved } from "./capacity-reservation.js";
import { zoneCounts } from "./eligibility.js";
import { placeGang } from "./gang-placement.js";
import { assign } from "./placement/bfgp.js";
import type { RoundAction } from "./round-action.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { writePriorityOf } from "./start-deadline.js";
import type { BoostedJobs } from "./starvation.js";
import { TaskPlacer } from "./task-placer.js";

/**
 * What came of a range of a job's tasks: the first task without capacity; that the job's next range may be placed; null
 * where the job is done for this round and no capacity is to be made for it.
 */
type RangeOutcome = Task | "next range" | null;

/** May one more task of the job be placed? Deferred: not now, for a reason that is not the team's limit. */
const admitTask = (
  { shard, now }: SchedulerSnapshot,
  job: Job,
  candidateIndex: CandidateIndex,
  boosted: BoostedJobs | null,
): "admitted" | "deferred" | "team limit" => {
  if (allowedStarts(job, now) === 0) return "deferred";
  if (boosted !== null && boosted.remaining < job.spec.demand.cpu) return "deferred";
  const limited = isLimitReserved(candidateIndex.reservation, job) || !shard.withinLimit(job.spec);
  return limited ? "team limit" : "admitted";
};

/**
 * Takes one write from the budget for the task's range; false where none is left. Placed ahead of its record, a task
 * only keeps capacity from those whose record is about to be written; that one write takes along all that its range is
 * given meanwhile.
 */
const takeRecordBudget = (
  { range }: Task,
  priority: "urgent" | "normal",
  recordBudget: CandidateIndex["recordBudget"],
): boolean => {
  if (range.placementPendingSince !== null) return true;
  if (recordBudget[priority] < 1) return false;
  recordBudget.normal -= 1;
  if (priority === "urgent") recordBudget.urgent -= 1;
  return true;
};

/** A job for which another has found no capacity in this round already. */
function* skipExhausted({ shard }: SchedulerSnapshot, task: Task): Generator<RoundAction, Task | null> {
  const { job } = task;
  if (shard.withinLimit(job.spec)) return task;
  yield { kind: "wait", job, reason: "team limit" };
  return null;
}

/** Places the tasks that exist by now, in the order of their index. */
// biome-ignore lint/complexity/noExcessiveCognitiveComplexity: each step may yield an action that takes effect before the next one is taken
function* placeTasks(
  snapshot: SchedulerSnapshot,
  job: Job,
  candidateIndex: CandidateIndex,
  zoneTaskCounts: Map<string, number>,
  boosted: BoostedJobs | null,
): Generator<RoundAction, RangeOutcome> {
  const { shard, now } = snapshot;
  const { spec } = job;
  const tasks = [...job.waitingTasks].filter((task) => task.earliestStart <= now).sort((a, b) => a.index - b.index);
  const [firstTask] = tasks;
  if (firstTask !== undefined && isKnownExhausted(job, candidateIndex, now)) {
    return yield* skipExhausted(snapshot, firstTask);
  }
  const placer = new TaskPlacer(snapshot, job, candidateIndex, zoneTaskCounts);
  const priority = writePriorityOf(job, snapshot.settings);
  let heldBack = 0;
  for (const task of tasks) {
    const admission = admitTask(snapshot, job, candidateIndex, boosted);
    if (admission === "team limit") yield { kind: "wait", job, reason: "team limit" };
    if (admission !== "admitted") return null;
    const candidate = placer.nextCandidate();
    if (candidate === null) {
      markExhausted(job, candidateIndex, now);
      return task;
    }
    // The range's value would become larger than is taken: until some of it has ended, others of the job go on.
    if (!shard.fitsInRecord(task, candidate.machine.name)) {
      heldBack += 1;
      continue;
    }
    if (!takeRecordBudget(task, priority, candidateIndex.recordBudget)) {
      yield { kind: "wait", job, reason: "record budget" };
      return null;
    }
    yield { kind: "place", task, machine: candidate.machine };
    assign(spec, candidate);
    placer.confirm(candidate);
    if (boosted !== null) boosted.remaining -= spec.demand.cpu;
  }
  return job.waitingTasks.size === heldBack && shard.createNextTaskRange(job) ? "next range" : null;
}

/** Places a gang, where what is left to boosted jobs allows all of it. */
function* placeGangWithinBoost(
  snapshot: SchedulerSnapshot,
  job: Job,
  candidateIndex: CandidateIndex,
  zoneTaskCounts: Map<string, number>,
  boosted: BoostedJobs | null,
): Generator<RoundAction, Task | null> {
  const { demand, tasks } = job.spec;
  const gangCpu = demand.cpu * tasks;
  if (boosted !== null && boosted.remaining < gangCpu) return null;
  const unplaced = yield* placeGang(snapshot, job, candidateIndex, zoneTaskCounts);
  if (boosted !== null && job.waitingTasks.size === 0) boosted.remaining -= gangCpu;
  return unplaced;
}

/** Places the tasks of the ranges that exist by now. */
function* placeRange(
  snapshot: SchedulerSnapshot,
  job: Job,
  candidateIndex: CandidateIndex,
  boosted: BoostedJobs | null,
): Generator<RoundAction, RangeOutcome> {
  const { spec } = job;
  const zoneTaskCounts = zoneCounts(job);
  if (spec.singleZone && job.placedTasks.size === 0) {
    const zone = zoneWithMostCapacity(job, candidateIndex);
    if (zone === null) return [...job.waitingTasks][0] ?? null;
    // Keeps the other zones out even before the first task is there.
    zoneTaskCounts.set(zone, Number.MIN_VALUE);
  }
  const place = spec.shape === "gang" ? placeGangWithinBoost : placeTasks;
  return yield* place(snapshot, job, candidateIndex, zoneTaskCounts, boosted);
}

/**
 * Places a job's waiting tasks, range by range. `boosted`: the jobs placed before all others and the CPUs left to them,
 * where the job is placed as one of these. Returns the first task for which there was no capacity, if there is one.
 */
export function* placeJob(
  snapshot: SchedulerSnapshot,
  job: Job,
  candidateIndex: CandidateIndex,
  boosted: BoostedJobs | null,
): Generator<RoundAction, Task | null> {
  let outcome = yield* placeRange(snapshot, job, candidateIndex, boosted);
  while (outcome === "next range") outcome = yield* placeRange(snapshot, job, candidateIndex, boosted);
  return outcome;
}
