/**
 * One placement round over the waiting jobs of a shard. Its stages: order the jobs, index the machines that can take tasks,
 * place boosted jobs, reserve capacity for late ones, place the rest, and preempt for what found no capacity.
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
import { type BoostedJobs, boostStarvedJobs, START_BOUND, StartHistory } from "./starvation.js";

/** What is kept from round to round. */
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

/** An overcommitment of guarantees only ends once claims are below this share of the capacity. */
const OVERCOMMIT_END_SHARE = 0.9;

/** This share of the machines with tasks has to be ready for their capacity to tell anything. */
const MIN_KNOWN_SHARE = 0.8;

/** What the stages of one round share. */
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

/** Reports where the guarantees have come to exceed the capacity, in thousandths of CPUs, or no longer do. */
function* reportOvercommitment({ snapshot, state, candidateIndex }: Round, capacity: number): Generator<RoundAction> {
  const { machines, guarantees } = candidateIndex;
  const { claimed } = guarantees;
  const overcommitted = claimed > capacity * (state.guaranteesOvercommitted ? OVERCOMMIT_END_SHARE : 1);
  if (overcommitted === state.guaranteesOvercommitted) return;
  // A new leader has hardly heard of its machines yet: that their capacity is unknown is no overcommitment.
  if (machines.length < MIN_KNOWN_SHARE * countMachinesWithTasks(snapshot)) return;
  state.guaranteesOvercommitted = overcommitted;
  yield { kind: "guarantees", overcommitted, claimed, capacity };
}

/** Places a job and counts its starts. Returns the first task for which there was no capacity, if there is one. */
function* placeAndCount(round: Round, job: Job, boosted: BoostedJobs | null): Generator<RoundAction, Task | null> {
  const { snapshot, state, candidateIndex, runningTasks } = round;
  const placedBefore = job.placedTasks.size;
  const unplaced = yield* placeJob(snapshot, job, candidateIndex, boosted);
  for (let placed = placedBefore; placed < job.placedTasks.size; placed += 1)
    state.preemptionBudget.taskStarted(runningTasks);
  if (job.placedTasks.size > placedBefore) state.startHistory.jobStarted(job);
  return unplaced;
}

/** Jobs of the boosted stage for which capacity is to be sought. */
interface BoostedOutcome {
  /** Jobs that have waited for too long and not started, the longest waiting first. */
  readonly late: readonly Job[];
  /** The first task without capacity of each job. Capacity only shrinks within a round: it is not searched again. */
  readonly unplacedTasks: ReadonlyMap<Job, Task>;
}

/** Places the jobs that go before all others. */
function* placeBoosted(round: Round, boosted: BoostedJobs): Generator<RoundAction, BoostedOutcome> {
  const { now } = round.snapshot;
  const late: Job[] = [];
  const unplacedTasks = new Map<Job, Task>();
  for (const job of boosted.jobs) {
    const unplaced = yield* placeAndCount(round, job, boosted);
    if (unplaced !== null) unplacedTasks.set(job, unplaced);
    if (now - job.waitingSince > START_BOUND && !hasStarted(job)) late.push(job);
  }
  return { late, unplacedTasks };
}

/** Are there writes left for the job's placements, or placements of it whose write is still to come? */
const hasRecordBudget = ({ snapshot, candidateIndex }: Round, job: Job): boolean =>
  candidateIndex.recordBudget[writePriorityOf(job, snapshot.settings)] >= 1 ||
  job.ranges.some(({ placementPendingSince }) => placementPendingSince !== null);

/** Places one job in its turn, and preempts for it where the rules allow it. `knownUnplaced`: known from a stage before. */
function* placeInTurn(round: Round, job: Job, knownUnplaced: Task | undefined): Generator<RoundAction> {
  // Not looked at any closer: with thousands of jobs waiting for the records, rounds would take seconds to no avail.
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
 * One placement round: what is waiting, in order, each task on the machine that Algorithm 1 chooses (docs/design.md),
 * and capacity made where the rules allow it. The caller carries out each action before it asks for the next one.
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
  for (const job of jobs) yield* placeInTurn(round, job, unplacedTasks.get(job));
}
