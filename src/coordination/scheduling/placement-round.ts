/**
 * One placement round over the waiting jobs of a shard. Its stages: order the jobs, index the machines that can take
 * tasks, place boosted jobs, reserve capacity for late ones, place the rest, and preempt for tasks that found no
 * capacity.
 */
import type { Job } from "../../cluster/job.js";
import type { Task } from "../../cluster/task.js";
import { buildCandidateIndex, type CandidateIndex } from "./candidate-index.js";
import { type ReservationState, reserveCapacity } from "./capacity-reservation.js";
import { GuaranteeUsage } from "./guarantee-usage.js";
import { waitingJobs } from "./job-order.js";
import { placeJob } from "./job-placement.js";
import { hasStarted } from "./job-start.js";
import { type PreemptionState, preemptFor } from "./preemption.js";
import { PreemptionBudget } from "./preemption-budget.js";
import { PromisedCapacity } from "./promised-capacity.js";
import type { RoundAction } from "./round-action.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { writePriorityOf } from "./start-deadline.js";
import { type BoostedJobs, boostStarvedJobs, MAX_START_WAIT, StartHistory } from "./starvation.js";

/** The state that is kept between rounds. */
export interface RoundState extends PreemptionState, ReservationState {
  guaranteesOvercommitted: boolean;
  readonly startHistory: StartHistory;
}

/** The state before the first round of a leader. */
export const newRoundState = (): RoundState => ({
  promisedCapacity: new PromisedCapacity(),
  preemptionBudget: new PreemptionBudget(),
  guaranteesOvercommitted: false,
  startHistory: new StartHistory(),
  reservation: null,
  reservationRetryAt: new Map(),
});

/** Hysteresis: guarantees stay overcommitted until claims are at most this share of the capacity. */
const OVERCOMMIT_END_SHARE = 0.9;

/** Overcommitment is judged only if ready machines number at least this share of the machines with tasks. */
const MIN_READY_SHARE = 0.8;

/** The data that the stages of one round share. */
interface Round {
  readonly snapshot: SchedulerSnapshot;
  readonly state: RoundState;
  readonly candidateIndex: CandidateIndex;
  /** Tasks on ready machines when the round began. */
  readonly runningTasks: number;
}

const countMachinesWithTasks = ({ shard }: SchedulerSnapshot): number => {
  let count = 0;
  for (const { tasks } of shard.machines.values()) if (tasks.size > 0) count += 1;
  return count;
};

/** Reports that guarantee claims start or stop exceeding `capacity` (thousandths of CPUs). */
function* reportOvercommitment({ snapshot, state, candidateIndex }: Round, capacity: number): Generator<RoundAction> {
  const { machines, guarantees } = candidateIndex;
  const { claimed } = guarantees;
  const overcommitted = claimed > capacity * (state.guaranteesOvercommitted ? OVERCOMMIT_END_SHARE : 1);
  if (overcommitted === state.guaranteesOvercommitted) return;
  // A new leader has received few heartbeats yet: machines of unknown capacity do not mean overcommitment.
  if (machines.length < MIN_READY_SHARE * countMachinesWithTasks(snapshot)) return;
  state.guaranteesOvercommitted = overcommitted;
  yield { kind: "guarantees", overcommitted, claimed, capacity };
}

/** Places a job's tasks and counts its starts. Returns the first task that found no capacity, or null. */
function* placeAndCount(round: Round, job: Job, boosted: BoostedJobs | null): Generator<RoundAction, Task | null> {
  const { snapshot, state, candidateIndex, runningTasks } = round;
  const placedBefore = job.placedTasks.size;
  const unplaced = yield* placeJob(snapshot, job, candidateIndex, boosted);
  for (let placed = placedBefore; placed < job.placedTasks.size; placed += 1)
    state.preemptionBudget.recordTaskStart(runningTasks);
  if (job.placedTasks.size > placedBefore) state.startHistory.recordJobStart(job);
  return unplaced;
}

/** Boosted jobs that are left without capacity. */
interface BoostedOutcome {
  /** Jobs not started within `MAX_START_WAIT`, the longest waiting first. */
  readonly late: readonly Job[];
  /** The first task without capacity of each job; not tried again, since capacity only shrinks within a round. */
  readonly unplacedTasks: ReadonlyMap<Job, Task>;
}

/** Places the boosted jobs, which precede all others. */
function* placeBoosted(round: Round, boosted: BoostedJobs): Generator<RoundAction, BoostedOutcome> {
  const { now } = round.snapshot;
  const late: Job[] = [];
  const unplacedTasks = new Map<Job, Task>();
  for (const job of boosted.jobs) {
    const unplaced = yield* placeAndCount(round, job, boosted);
    if (unplaced !== null) unplacedTasks.set(job, unplaced);
    if (now - job.waitingSince > MAX_START_WAIT && !hasStarted(job)) late.push(job);
  }
  return { late, unplacedTasks };
}

/** Whether the write budget allows another placement of the job, or a pending write of the job can carry it. */
const hasRecordBudget = ({ snapshot, candidateIndex }: Round, job: Job): boolean =>
  candidateIndex.recordBudget[writePriorityOf(job, snapshot.settings)] >= 1 ||
  job.ranges.some(({ placementPendingSince }) => placementPendingSince !== null);

/**
 * Places one job in the order of the round, and preempts for it where the rules allow it. `knownUnplaced`: the task
 * that found no capacity in the boosted stage, if any.
 */
function* placeInOrder(round: Round, job: Job, knownUnplaced: Task | undefined): Generator<RoundAction> {
  // Skipped early: with thousands of jobs waiting for their records to be written, rounds would take seconds in vain.
  if (!hasRecordBudget(round, job)) {
    yield { kind: "wait", job, reason: "record budget" };
    return;
  }
  if (job.waitingTasks.size === 0) return;
  const unplaced = knownUnplaced ?? (yield* placeAndCount(round, job, null));
  if (unplaced === null) return;
  yield { kind: "wait", job, reason: job.spec.singleZone && job.placedTasks.size === 0 ? "no zone" : "no capacity" };
  if (job.spec.shape !== "gang") yield* preemptFor(round.snapshot, round.state, unplaced, round.candidateIndex);
}

/**
 * Decides one placement round: places waiting tasks in order, each on the machine that Algorithm 1 chooses
 * (docs/design.md), and preempts where the rules allow it. The caller applies each action before requesting the next
 * one.
 */
export function* decideRound(snapshot: SchedulerSnapshot, state: RoundState): Generator<RoundAction> {
  const guarantees = new GuaranteeUsage(snapshot);
  const jobs = waitingJobs(snapshot);
  if (jobs.length === 0) return;
  const candidateIndex = buildCandidateIndex(snapshot, jobs, guarantees, state.reservation);
  const { machines } = candidateIndex;
  const capacity = machines.reduce((sum, { type }) => sum + (type?.capacity.cpu ?? 0), 0);
  const runningTasks = machines.reduce((sum, { tasks }) => sum + tasks.size, 0);
  const round: Round = { snapshot, state, candidateIndex, runningTasks };
  yield* reportOvercommitment(round, capacity);
  const boosted = boostStarvedJobs(snapshot, state.startHistory, jobs, capacity);
  const { late, unplacedTasks } = yield* placeBoosted(round, boosted);
  yield* reserveCapacity(snapshot, state, late, machines);
  candidateIndex.reservation = state.reservation;
  for (const job of jobs) yield* placeInOrder(round, job, unplacedTasks.get(job));
}
