/**
 * Reservation of capacity for the job that has waited longest: backfilling with one reservation (EASY). Other jobs use
 * reserved machines only for tasks expected to end before the reserved capacity is due.
 */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { hasStarted, tasksPlacedTogether } from "./job-start.js";
import { earliestMachines, limitAvailableAt, MAX_RESERVATION } from "./reservation-search.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** A reservation lasts this multiple of the expected wait: run-time estimates are often wrong by half. */
const RESERVATION_FACTOR = 2;
/** Added to the duration of a reservation. */
const RESERVATION_SLACK = seconds(10);
/** Delay before a job for which nothing could be reserved is considered again. */
const RETRY_DELAY = seconds(20);
/** Delay before a job whose reservation expired unused is considered again. */
const EXPIRED_RETRY_DELAY = seconds(60);
/** The maximum number of jobs per round for which a reservation is searched. */
const MAX_SEARCHES = 2;
/**
 * A task may backfill a reserved machine if this multiple of its estimated run time ends before the capacity is due.
 */
const BACKFILL_FACTOR = 1.5;

/** Capacity that is expected to become free, reserved for one job. */
export interface Reservation {
  readonly job: Job;
  /** When each reserved machine is expected to have the capacity; empty if the team's limit is reserved instead. */
  readonly machines: ReadonlyMap<Machine, Micros>;
  readonly until: Micros;
}

/** The state of reservations that is kept between rounds. */
export interface ReservationState {
  reservation: Reservation | null;
  /** When jobs without a reservation, or with an expired one, are considered again. */
  readonly reservationRetryAt: Map<Job, Micros>;
}

/** Why a reservation ends: its job has started, it has expired, or its job has ended. */
export type ReleaseReason = "started" | "expired" | "job ended";

/** A decision of a round on reservations. */
export type ReservationAction =
  | { readonly kind: "reserve"; readonly reservation: Reservation }
  | { readonly kind: "unreserve"; readonly job: Job; readonly reason: ReleaseReason }
  /** No capacity for the job is expected to become free within `MAX_RESERVATION`. */
  | { readonly kind: "no capacity to reserve"; readonly job: Job };

/** Why the reservation is to end; null if it is to be kept. */
const releaseReason = ({ shard, now }: SchedulerSnapshot, { job, until }: Reservation): ReleaseReason | null => {
  if (job.cancelled || job.outcomePending || !shard.jobs.has(job.spec.id)) return "job ended";
  if (hasStarted(job)) return "started";
  return now > until ? "expired" : null;
};

/** Releases the present reservation if there is a reason to. */
function* releaseReservation(snapshot: SchedulerSnapshot, state: ReservationState): Generator<ReservationAction, void> {
  const { reservation } = state;
  if (reservation === null) return;
  const reason = releaseReason(snapshot, reservation);
  if (reason === null) return;
  const { job } = reservation;
  state.reservation = null;
  if (reason === "expired") state.reservationRetryAt.set(job, (snapshot.now + EXPIRED_RETRY_DELAY) as Micros);
  yield { kind: "unreserve", job, reason };
}

/** Removes delays that are over, and those of jobs that have ended. */
const expireRetries = ({ shard, now }: SchedulerSnapshot, { reservationRetryAt }: ReservationState): void => {
  for (const [job, retryAt] of reservationRetryAt) {
    if (retryAt <= now || !shard.jobs.has(job.spec.id)) reservationRetryAt.delete(job);
  }
};

const reservationOf = (
  job: Job,
  machines: ReadonlyMap<Machine, Micros>,
  completeAt: Micros,
  now: Micros,
): Reservation => {
  const until = now + (completeAt - now) * RESERVATION_FACTOR + RESERVATION_SLACK;
  return { job, machines, until: Math.min(now + MAX_RESERVATION, until) as Micros };
};

/**
 * Searches a reservation for the job: of its team's limit if that prevents its start, else of machines. Null if none is
 * possible.
 */
const findReservation = (snapshot: SchedulerSnapshot, job: Job, machines: readonly Machine[]): Reservation | null => {
  const { shard, now } = snapshot;
  if (!shard.withinLimit(job.spec, tasksPlacedTogether(job.spec))) {
    const availableAt = limitAvailableAt(snapshot, job);
    return availableAt === null ? null : reservationOf(job, new Map(), availableAt, now);
  }
  const chosen = earliestMachines(snapshot, job, machines);
  if (chosen === null) return null;
  return reservationOf(job, chosen, Math.max(now, ...chosen.values()) as Micros, now);
};

/**
 * Reserves capacity for the longest waiting job that needs more at once than becomes free by itself: a whole machine,
 * all of a gang, the rest of its team's limit. Without a reservation it would wait for ever, as small tasks take all
 * capacity as soon as it is free; with one, other jobs may only backfill (EASY). There is one reservation at a time, of
 * bounded duration, so that no more capacity idles than one job is going to use. `lateJobs`: the jobs that have waited
 * too long and could not start in this round, longest waiting first.
 */
export function* reserveCapacity(
  snapshot: SchedulerSnapshot,
  state: ReservationState,
  lateJobs: readonly Job[],
  machines: readonly Machine[],
): Generator<ReservationAction> {
  yield* releaseReservation(snapshot, state);
  if (state.reservation !== null) return;
  expireRetries(snapshot, state);
  let searches = 0;
  for (const job of lateJobs) {
    if (state.reservationRetryAt.has(job) || hasStarted(job)) continue;
    // Each search inspects every machine.
    searches += 1;
    if (searches > MAX_SEARCHES) return;
    const reservation = findReservation(snapshot, job, machines);
    if (reservation !== null) {
      state.reservation = reservation;
      yield { kind: "reserve", reservation };
      return;
    }
    state.reservationRetryAt.set(job, (snapshot.now + RETRY_DELAY) as Micros);
    yield { kind: "no capacity to reserve", job };
  }
}

/**
 * Whether a task of the job may be placed on the machine now: the machine is not reserved for another job, or the task
 * is expected to end before the reserved capacity is due.
 */
export const mayBackfill = (reservation: Reservation | null, job: Job, machine: Machine, now: Micros): boolean => {
  const availableAt = reservation?.machines.get(machine);
  if (availableAt === undefined || reservation?.job === job) return true;
  const { shape, estimatedRunS } = job.spec;
  return shape !== "service" && estimatedRunS > 0 && now + seconds(estimatedRunS * BACKFILL_FACTOR) <= availableAt;
};

/** Whether the remainder of the limit of the job's team is reserved for another job of the team. */
export const isLimitReserved = (reservation: Reservation | null, job: Job): boolean =>
  reservation !== null &&
  reservation.machines.size === 0 &&
  reservation.job !== job &&
  reservation.job.spec.team === job.spec.team;
