/** Placement of one job's waiting tasks, one task range after the other. */
import type { Job } from "../../cluster/job.js";
import type { Task } from "../../cluster/task.js";
import { allowedStarts } from "../workers/failure-attribution.js";
import { type CandidateIndex, isKnownExhausted, markExhausted, zoneWithMostCapacity } from "./candidate-index.js";
import { isLimitReserved } from "./capacity-reservation.js";
import { placedTasksByZone } from "./eligibility.js";
import { placeGang } from "./gang-placement.js";
import { assign } from "./placement/bfgp.js";
import type { RoundAction } from "./round-action.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { writePriorityOf } from "./start-deadline.js";
import type { BoostedJobs } from "./starvation.js";
import { TaskPlacer } from "./task-placer.js";

/**
 * The result of placing a task range: the first task without capacity; "next range" if the job's next range may be
 * placed; null if nothing more of the job is placed in this round and no capacity is to be made for it by preemption.
 */
type RangeOutcome = Task | "next range" | null;

/**
 * Whether one more task of the job may be placed. "deferred": not in this round, for a reason other than the team's
 * limit.
 */
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
 * Takes one write from the budget for the task's range; false where none is left. A task placed too far ahead of its
 * record only blocks capacity that tasks with an earlier write could use. A range with a pending write needs no other:
 * that write carries all placements made in the range until then.
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

/**
 * Handles a job whose demand is known to find no capacity in this round: returns the task, for preemption, unless the
 * team's limit forbids it.
 */
function* skipExhausted({ shard }: SchedulerSnapshot, task: Task): Generator<RoundAction, Task | null> {
  const { job } = task;
  if (shard.withinLimit(job.spec)) return task;
  yield { kind: "wait", job, reason: "team limit" };
  return null;
}

/** Places the job's waiting tasks that are not in back-off, in the order of their index. */
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
  let skippedTasks = 0;
  for (const task of tasks) {
    const admission = admitTask(snapshot, job, candidateIndex, boosted);
    if (admission === "team limit") yield { kind: "wait", job, reason: "team limit" };
    if (admission !== "admitted") return null;
    const candidate = placer.nextCandidate();
    if (candidate === null) {
      markExhausted(job, candidateIndex, now);
      return task;
    }
    // The range's record would exceed the size limit: the task waits until others of its range have ended; tasks of
    // other ranges are placed meanwhile.
    if (!shard.fitsInRecord(task, candidate.machine.name)) {
      skippedTasks += 1;
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
  return job.waitingTasks.size === skippedTasks && shard.createNextTaskRange(job) ? "next range" : null;
}

/** Places a gang; a boosted one only if the CPUs left to boosted jobs suffice for all of it. */
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

/** Places the tasks of the ranges created so far. */
function* placeRange(
  snapshot: SchedulerSnapshot,
  job: Job,
  candidateIndex: CandidateIndex,
  boosted: BoostedJobs | null,
): Generator<RoundAction, RangeOutcome> {
  const { spec } = job;
  const zoneTaskCounts = placedTasksByZone(job);
  if (spec.singleZone && job.placedTasks.size === 0) {
    const zone = zoneWithMostCapacity(job, candidateIndex);
    if (zone === null) return [...job.waitingTasks][0] ?? null;
    // Excludes the other zones before the first task is placed: any count above 0 does.
    zoneTaskCounts.set(zone, Number.MIN_VALUE);
  }
  const place = spec.shape === "gang" ? placeGangWithinBoost : placeTasks;
  return yield* place(snapshot, job, candidateIndex, zoneTaskCounts, boosted);
}

/**
 * Places a job's waiting tasks, range by range. `boosted`: the boosted jobs and the CPUs left to them if the job is
 * placed as one of them, else null. Returns the first task that found no capacity, or null.
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
