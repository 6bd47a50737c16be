/** Placement of gangs: all open tasks of the job in one round, or none. */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import { type Candidate, type CandidateIndex, copyCandidate } from "./candidate-index.js";
import { isLimitReserved } from "./capacity-reservation.js";
import { assign } from "./placement/bfgp.js";
import type { RoundAction } from "./round-action.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { TaskPlacer } from "./task-placer.js";

/** What a trial placement of a whole gang came to. */
type GangTrial =
  | { readonly kind: "fits"; readonly candidates: readonly Candidate[] }
  | { readonly kind: "no capacity"; readonly task: Task }
  | { readonly kind: "record full" };

/** Why the gang is not placed in this round, whatever capacity there is; null where nothing prevents it. */
const gangObstacle = (
  { shard, now }: SchedulerSnapshot,
  job: Job,
  tasks: readonly Task[],
  candidateIndex: CandidateIndex,
): RoundAction | null => {
  if (tasks.some((task) => task.earliestStart > now)) return { kind: "wait", job, reason: "gang incomplete" };
  // The sooner the rest is stopped, the sooner it starts anew together.
  if (job.placedTasks.size > 0) return { kind: "dissolve", job };
  if (isLimitReserved(candidateIndex.reservation, job) || !shard.withinLimit(job.spec, tasks.length)) {
    return { kind: "wait", job, reason: "team limit" };
  }
  return null;
};

/** Places the gang on copies of the candidates: nothing of a gang that does not fit whole must be left behind. */
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

/** Places the tasks on the candidates of which a trial chose the copies. */
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
 * Places all of a gang's open tasks in this round, or none. `zoneTaskCounts`: the job's tasks by zone, changed as they
 * are placed. Returns the first task for which there was no capacity, if there is one.
 */
export function* placeGang(
  snapshot: SchedulerSnapshot,
  job: Job,
  candidateIndex: CandidateIndex,
  zoneTaskCounts: Map<string, number>,
): Generator<RoundAction, Task | null> {
  while (snapshot.shard.createNextTaskRange(job));
  const tasks = [...job.waitingTasks].sort((a, b) => a.index - b.index);
  if (tasks.length === 0) return null;
  const obstacle = gangObstacle(snapshot, job, tasks, candidateIndex);
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
