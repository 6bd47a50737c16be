import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { ShardState } from "../../cluster/shard-state.js";
import { attemptOf, type Task } from "../../cluster/task.js";
import { allowedStarts } from "../workers/failure-attribution.js";
import {
  buildCandidateIndex,
  type Candidate,
  type CandidateIndex,
  copyCandidate,
  isKnownExhausted,
  markExhausted,
  zoneWithMostCapacity,
} from "./candidate-index.js";
import {
  hasStarted,
  isLimitReserved,
  type ReservationAction,
  type ReservationState,
  reserveCapacity,
} from "./capacity-reservation.js";
import { zoneCounts } from "./eligibility.js";
import { GuaranteeUsage } from "./guarantee-usage.js";
import { waitingJobs } from "./job-order.js";
import { assign } from "./placement/bfgp.js";
import { type PreemptAction, PreemptionBudget, type PreemptionState, preemptFor } from "./preemption.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { writePriorityOf } from "./start-deadline.js";
import { type BoostedJobs, boostStarvedJobs, START_BOUND, StartHistory } from "./starvation.js";
import { createTaskPlacer } from "./task-placer.js";

/** Why tasks of a job go on waiting after a round. */
export type WaitReason =
  /** One more would pass the team's limit. */
  | "team limit"
  /** No machine that the job may use has room for one. */
  | "no room"
  /** No zone has room for a job whose tasks stay in one. */
  | "no zone"
  /** What has been placed already takes all the writes that the state service allows for the next seconds. */
  | "records"
  /** A gang's tasks are in back-off, or some of them are still on machines. */
  | "gang incomplete";

export type RoundAction =
  | { readonly kind: "place"; readonly task: Task; readonly machine: Machine }
  /** A gang that lost a task cannot go on. */
  | { readonly kind: "dissolve"; readonly job: Job }
  | { readonly kind: "wait"; readonly job: Job; readonly reason: WaitReason }
  /** Work within guarantees has come to exceed all room there is, or no longer does; in thousandths of CPUs. */
  | { readonly kind: "guarantees"; readonly short: boolean; readonly claimed: number; readonly room: number }
  | PreemptAction
  | ReservationAction;

/** What an action changes in the picture; records, commands and waking are for whoever carries it out. */
export const applyAction = (shard: ShardState, action: RoundAction): void => {
  switch (action.kind) {
    case "place": {
      const { task, machine } = action;
      shard.assignTask(task, machine);
      task.desired = { kind: "placed", attempt: attemptOf(task.desired) + 1, machine: machine.name };
      return;
    }
    case "look later":
      action.task.nextPreemptionSearch = action.at;
      return;
    case "stop":
      for (const { task, graceS, notBefore } of action.victims) {
        task.stopRequest = { graceS };
        task.earliestStart = notBefore;
      }
      return;
    case "dissolve": {
      const { checkpointIntervalS, checkpointDurationS } = action.job.spec;
      for (const task of action.job.placedTasks)
        task.stopRequest ??= { graceS: checkpointIntervalS > 0 ? Math.ceil(checkpointDurationS) : 0 };
      return;
    }
    case "wait":
    case "guarantees":
    case "reserve":
    case "unreserve":
    case "no such room":
  }
};

/** What is kept from round to round. */
export interface RoundState extends PreemptionState, ReservationState {
  guaranteesOvercommitted: boolean;
  readonly startHistory: StartHistory;
}

export const newRoundState = (): RoundState => ({
  promised: new Map(),
  budget: new PreemptionBudget(),
  guaranteesOvercommitted: false,
  startHistory: new StartHistory(),
  reservation: null,
  retryAt: new Map(),
});

/** Where it has become so, it only ends once there is clearly more room than is claimed. */
const OVERCOMMIT_END_SHARE = 0.9;

/** So many of the machines with work have to be known for their room to tell anything. */
const MIN_KNOWN_SHARE = 0.8;

const countMachinesWithTasks = ({ shard }: SchedulerSnapshot): number => {
  let count = 0;
  for (const { tasks } of shard.machines.values()) if (tasks.size > 0) count += 1;
  return count;
};

/** What came of a job: the first task without room, or that it may go on, or nothing to make room for. */
type Unplaced = Task | "more" | null;

/** All of a gang's open tasks in this round, or none. */
function* placeGang(
  snapshot: SchedulerSnapshot,
  job: Job,
  candidateIndex: CandidateIndex,
  counts: Map<string, number>,
): Generator<RoundAction, Unplaced> {
  const { shard, now } = snapshot;
  const { spec } = job;
  while (shard.createNextTaskRange(job));
  const tasks = [...job.waitingTasks].sort((a, b) => a.index - b.index);
  const first = tasks[0];
  if (first === undefined) return null;
  if (tasks.some((task) => task.earliestStart > now)) {
    yield { kind: "wait", job, reason: "gang incomplete" };
    return null;
  }
  if (job.placedTasks.size > 0) {
    // The sooner the rest is stopped, the sooner it starts anew together.
    yield { kind: "dissolve", job };
    return null;
  }
  if (isLimitReserved(candidateIndex.reservation, job) || !shard.withinLimit(spec, tasks.length)) {
    yield { kind: "wait", job, reason: "team limit" };
    return null;
  }
  // Works on copies: nothing of a gang that does not fit whole must be left behind.
  const pools = candidateIndex.pools.map((pool) => ({ ...pool, candidates: pool.candidates.map(copyCandidate) }));
  const run = createTaskPlacer(snapshot, job, { ...candidateIndex, pools }, counts);
  const chosen: Candidate[] = [];
  for (const task of tasks) {
    const candidate = run.nextCandidate();
    if (candidate === null) return task;
    assign(spec, candidate);
    run.confirm(candidate);
    if (!shard.fitsInRecord(task, candidate.machine.name)) {
      yield { kind: "wait", job, reason: "records" };
      return null;
    }
    chosen.push(candidate);
  }
  const originals = new Map(
    candidateIndex.pools.flatMap(({ candidates }) => candidates.map((candidate) => [candidate.machine, candidate])),
  );
  for (const [index, task] of tasks.entries()) {
    const server = originals.get(chosen[index]?.machine as Machine);
    if (server === undefined) continue;
    yield { kind: "place", task, machine: server.machine };
    assign(spec, server);
  }
  return null;
}

/** Places a job's waiting tasks, one after the other. */
function* placeJob(
  snapshot: SchedulerSnapshot,
  job: Job,
  candidateIndex: CandidateIndex,
  boosted: BoostedJobs | null,
): Generator<RoundAction, Unplaced> {
  const { shard, now } = snapshot;
  const { spec } = job;
  const counts = zoneCounts(job);
  if (spec.singleZone && job.placedTasks.size === 0) {
    const zone = zoneWithMostCapacity(job, candidateIndex);
    if (zone === null) return [...job.waitingTasks][0] ?? null;
    // Keeps the other zones out even before the first task is there.
    counts.set(zone, Number.MIN_VALUE);
  }
  if (spec.shape === "gang") {
    const all = spec.demand.cpu * spec.tasks;
    if (boosted !== null && boosted.left < all) return null;
    const left = yield* placeGang(snapshot, job, candidateIndex, counts);
    if (boosted !== null && job.waitingTasks.size === 0) boosted.left -= all;
    return left;
  }
  const tasks = [...job.waitingTasks].filter((task) => task.earliestStart <= now).sort((a, b) => a.index - b.index);
  const first = tasks[0];
  if (first !== undefined && isKnownExhausted(job, candidateIndex, now)) {
    if (shard.withinLimit(spec)) return first;
    yield { kind: "wait", job, reason: "team limit" };
    return null;
  }
  const run = createTaskPlacer(snapshot, job, candidateIndex, counts);
  const lane = writePriorityOf(job, snapshot.settings);
  let heldBack = 0;
  for (const task of tasks) {
    if (allowedStarts(job, now) === 0 || (boosted !== null && boosted.left < spec.demand.cpu)) return null;
    if (isLimitReserved(candidateIndex.reservation, job) || !shard.withinLimit(spec)) {
      yield { kind: "wait", job, reason: "team limit" };
      return null;
    }
    const candidate = run.nextCandidate();
    if (candidate === null) {
      markExhausted(job, candidateIndex, now);
      return task;
    }
    // The range's value would become larger than is taken: until some of it has ended, others of the job go on.
    if (!shard.fitsInRecord(task, candidate.machine.name)) {
      heldBack += 1;
      continue;
    }
    // Placed ahead of its record, a task only keeps room from those whose record is about to be written; that one
    // write takes along all that its range is given meanwhile.
    if (task.range.placementPendingSince === null) {
      if (candidateIndex.recordBudget[lane] < 1) {
        yield { kind: "wait", job, reason: "records" };
        return null;
      }
      candidateIndex.recordBudget.normal -= 1;
      if (lane === "urgent") candidateIndex.recordBudget.urgent -= 1;
    }
    yield { kind: "place", task, machine: candidate.machine };
    assign(spec, candidate);
    run.confirm(candidate);
    if (boosted !== null) boosted.left -= spec.demand.cpu;
  }
  return job.waitingTasks.size === heldBack && shard.createNextTaskRange(job) ? "more" : null;
}

/**
 * One placement round: what is waiting, in order, each task on the machine that Algorithm 1 chooses (docs/design.md),
 * and room made where the rules allow it.
 */
export function* decideRound(snapshot: SchedulerSnapshot, state: RoundState): Generator<RoundAction> {
  const guarantees = new GuaranteeUsage(snapshot);
  const jobs = waitingJobs(snapshot);
  if (jobs.length === 0) return;
  const candidateIndex = buildCandidateIndex(snapshot, jobs, guarantees, state.reservation);
  const room = candidateIndex.machines.reduce((sum, { type }) => sum + (type?.capacity.cpu ?? 0), 0);
  const short = guarantees.claimed > room * (state.guaranteesOvercommitted ? OVERCOMMIT_END_SHARE : 1);
  // A new holder has hardly heard of its machines yet: that their room is unknown does not make it short.
  if (
    short !== state.guaranteesOvercommitted &&
    candidateIndex.machines.length >= MIN_KNOWN_SHARE * countMachinesWithTasks(snapshot)
  ) {
    state.guaranteesOvercommitted = short;
    yield { kind: "guarantees", short, claimed: guarantees.claimed, room };
  }
  const running = candidateIndex.machines.reduce((sum, { tasks }) => sum + tasks.size, 0);
  const boosted = boostStarvedJobs(snapshot, state.startHistory, jobs, room);
  const late: Job[] = [];
  // Room only shrinks within a round: what found none is not to look for it a second time.
  const without = new Map<Job, Task>();
  for (const job of boosted.jobs) {
    const left = yield* placeAllRanges(snapshot, state, job, candidateIndex, running, boosted);
    if (left !== null) without.set(job, left);
    if (snapshot.now - job.waitingSince > START_BOUND && !hasStarted(job)) late.push(job);
  }
  yield* reserveCapacity(snapshot, state, late, candidateIndex.machines);
  candidateIndex.reservation = state.reservation;
  for (const job of jobs) {
    // Not looked at any closer: with thousands of jobs waiting for the records, rounds would take seconds to no avail.
    if (
      candidateIndex.recordBudget[writePriorityOf(job, snapshot.settings)] < 1 &&
      !job.ranges.some(({ placementPendingSince }) => placementPendingSince !== null)
    ) {
      yield { kind: "wait", job, reason: "records" };
      continue;
    }
    if (job.waitingTasks.size === 0) continue;
    const left = without.get(job) ?? (yield* placeAllRanges(snapshot, state, job, candidateIndex, running, null));
    if (left === null) continue;
    yield { kind: "wait", job, reason: job.spec.singleZone && job.placedTasks.size === 0 ? "no zone" : "no room" };
    if (job.spec.shape !== "gang") yield* preemptFor(snapshot, state, left, candidateIndex);
  }
}

/** Range by range. Returns the first task without room, if there is one. */
function* placeAllRanges(
  snapshot: SchedulerSnapshot,
  state: RoundState,
  job: Job,
  candidateIndex: CandidateIndex,
  running: number,
  boosted: BoostedJobs | null,
): Generator<RoundAction, Task | null> {
  const before = job.placedTasks.size;
  let left = yield* placeJob(snapshot, job, candidateIndex, boosted);
  while (left === "more") left = yield* placeJob(snapshot, job, candidateIndex, boosted);
  for (let at = before; at < job.placedTasks.size; at += 1) state.budget.taskStarted(running);
  if (job.placedTasks.size > before) state.startHistory.jobStarted(job);
  return left;
}
