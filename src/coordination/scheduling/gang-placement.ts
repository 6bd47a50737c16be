/** Placement of gangs: all waiting tasks of the job in one round, or none. */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import { type Candidate, type CandidateIndex, copyCandidate } from "./candidate-index.js";
import { isLimitReserved } from "./capacity-reservation.js";
import { assign } from "./placement/bfgp.js";
import type { RoundAction } from "./round-action.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { TaskPlacer } from "./task-placer.js";

/** The result of a trial placement of a whole gang. */
type GangTrial =
  | { readonly kind: "fits"; readonly candidates: readonly Candidate[] }
  | { readonly kind: "no capacity"; readonly task: Task }
  | { readonly kind: "record full" };

/** The action to take instead of placing the gang, whatever capacity there is; null if the gang may be placed. */
const gangBlockedBy = (
  { shard, now }: SchedulerSnapshot,
  job: Job,
  tasks: readonly Task[],
  candidateIndex: CandidateIndex,
): RoundAction | null => {
  if (tasks.some((task) => task.earliestStart > now)) return { kind: "wait", job, reason: "gang incomplete" };
  // The remaining tasks are stopped at once, so that the whole gang can restart sooner.
  if (job.placedTasks.size > 0) return { kind: "dissolve", job };
  if (isLimitReserved(candidateIndex.reservation, job) || !shard.withinLimit(job.spec, tasks.length)) {
    return { kind: "wait", job, reason: "team limit" };
  }
  return null;
};

/** Places the gang on copies of the candidates, so that a gang that does not fit as a whole leaves no trace. */
const tryGang = (
  snapshot: SchedulerSnapshot,
  job: Job,
  tasks: readonly Task[],
  candidateIndex: CandidateIndex,
  zoneTaskCounts: Map<string, number>,
): GangTrial => {
  const pools = candidateIndex.pools.map((pool) => ({ ...pool, candidates: pool.candidates.map(copyCandidate) }));
  const placer = new TaskPlacer(snapshot, job, { ...candidateIndex, pools }, zoneTaskCounts);
  const candidates: Candidate[] = [];
  for (const task of tasks) {
    const candidate = placer.nextCandidate();
    if (candidate === null) return { kind: "no capacity", task };
    assign(job.spec, candidate);
    placer.confirm(candidate);
    if (!snapshot.shard.fitsInRecord(task, candidate.machine.name)) return { kind: "record full" };
    candidates.push(candidate);
  }
  return { kind: "fits", candidates };
};

/** Places the tasks on the candidates whose copies the trial chose. */
function* commitGang(
  job: Job,
  tasks: readonly Task[],
  chosen: readonly Candidate[],
  { pools }: CandidateIndex,
): Generator<RoundAction, void> {
  const originals = new Map<Machine | undefined, Candidate>(
    pools.flatMap(({ candidates }) => candidates.map((candidate) => [candidate.machine, candidate] as const)),
  );
  for (const [index, task] of tasks.entries()) {
    const candidate = originals.get(chosen[index]?.machine);
    if (candidate === undefined) continue;
    yield { kind: "place", task, machine: candidate.machine };
    assign(job.spec, candidate);
  }
}

/**
 * Places all of a gang's waiting tasks in this round, or none. `zoneTaskCounts`: the job's tasks by zone, updated as
 * they are placed. Returns the first task that found no capacity, or null.
 */
export function* placeGang(
  snapshot: SchedulerSnapshot,
  job: Job,
  candidateIndex: CandidateIndex,
  zoneTaskCounts: Map<string, number>,
): Generator<RoundAction, Task | null> {
  snapshot.shard.createNextTaskRange(job);
  if (snapshot.shard.uncreatedTasks(job) > 0) {
    yield { kind: "wait", job, reason: "task limit" };
    return null;
  }
  const tasks = [...job.waitingTasks].sort((a, b) => a.index - b.index);
  if (tasks.length === 0) return null;
  const obstacle = gangBlockedBy(snapshot, job, tasks, candidateIndex);
  if (obstacle !== null) {
    yield obstacle;
    return null;
  }
  const trial = tryGang(snapshot, job, tasks, candidateIndex, zoneTaskCounts);
  switch (trial.kind) {
    case "no capacity":
      return trial.task;
    case "record full":
      yield { kind: "wait", job, reason: "record budget" };
      return null;
    case "fits":
      yield* commitGang(job, tasks, trial.candidates, candidateIndex);
      return null;
  }
}
