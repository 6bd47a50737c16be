/**
 * Reservation of capacity for the job that has waited longest: backfilling with one reservation (EASY). Other jobs use the
 * reserved machines only for what ends before the reservation is complete.
 */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { hasStarted, tasksPlacedTogether } from "./job-start.js";
import { earliestMachines, limitAvailableAt, MAX_RESERVATION } from "./reservation-search.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** A reservation lasts so many times the expected wait: estimates are often wrong by half. */
const RESERVATION_FACTOR = 2;
/** A reservation lasts so much longer than that. */
const RESERVATION_SLACK = seconds(10);
/** A job for which nothing could be reserved is considered again after this time. */
const RETRY_DELAY = seconds(20);
/** A job whose reservation ran out unused is considered again after this time. */
const EXPIRED_RETRY_DELAY = seconds(60);
/** Jobs that a round searches a reservation for. */
const MAX_SEARCHES = 2;
/** What is to end before the reservation is complete may backfill it, its estimate taken so many times. */
const BACKFILL_FACTOR = 1.5;

/** Capacity that comes free, reserved for the job that has waited longest. */
export interface Reservation {
  readonly job: Job;
  /** When each machine is expected to have the capacity; none: it is the team's limit that is reserved. */
  readonly machines: ReadonlyMap<Machine, Micros>;
  readonly until: Micros;
}

/** What reservations keep from round to round. */
export interface ReservationState {
  reservation: Reservation | null;
  /** Jobs that are not considered again before a time. */
  readonly reservationRetryAt: Map<Job, Micros>;
}

/** Why a reservation ends: its job has started, it ran out, or the job has ended. */
export type ReleaseReason = "started" | "expired" | "job ended";

/** What a round decides on reservations. */
export type ReservationAction =
  | { readonly kind: "reserve"; readonly reservation: Reservation }
  | { readonly kind: "unreserve"; readonly job: Job; readonly reason: ReleaseReason }
  /** Nowhere will there be capacity for the job within the time that a reservation may last. */
  | { readonly kind: "no capacity to reserve"; readonly job: Job };

/** Why the reservation is to end; null where it is to go on. */
const releaseReason = ({ shard, now }: SchedulerSnapshot, { job, until }: Reservation): ReleaseReason | null => {
  if (job.cancelled || job.outcomePending || !shard.jobs.has(job.spec.id)) return "job ended";
  if (hasStarted(job)) return "started";
  return now > until ? "expired" : null;
};

/** Ends the present reservation, where there is one and it is to end. */
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

/** Forgets delays that are over, and those of jobs that have ended. */
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

/** A reservation for the job: of its team's limit where that keeps it from starting, else of machines; null if there is none. */
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
 * Reserves capacity for the longest waiting job that needs more at once than comes free by itself: a whole machine, all of
 * a gang, the rest of its team's limit. Small work beside it takes every bit as soon as it is free, so that it would wait
 * for ever; others fill in only what ends before (backfilling with one reservation, EASY). One at a time, for a bounded
 * time, so that it can idle no more than what one job is going to use. `late`: those that have waited for too long, oldest
 * first, to which this round had nothing to give.
 */
export function* reserveCapacity(
  snapshot: SchedulerSnapshot,
  state: ReservationState,
  late: readonly Job[],
  machines: readonly Machine[],
): Generator<ReservationAction> {
  yield* releaseReservation(snapshot, state);
  if (state.reservation !== null) return;
  expireRetries(snapshot, state);
  let searches = 0;
  for (const job of late) {
    if (state.reservationRetryAt.has(job) || hasStarted(job)) continue;
    // Each looks at every machine.
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

/** May a task of the job go there, or is the machine reserved for another from before the task ends? */
export const mayBackfill = (reservation: Reservation | null, job: Job, machine: Machine, now: Micros): boolean => {
  const availableAt = reservation?.machines.get(machine);
  if (availableAt === undefined || reservation?.job === job) return true;
  const { shape, estimatedRunS } = job.spec;
  return shape !== "service" && estimatedRunS > 0 && now + seconds(estimatedRunS * BACKFILL_FACTOR) <= availableAt;
};

/** Is what is left of the team's limit reserved for another of its jobs? */
export const isLimitReserved = (reservation: Reservation | null, job: Job): boolean =>
  reservation !== null &&
  reservation.machines.size === 0 &&
  reservation.job !== job &&
  reservation.job.spec.team === job.spec.team;
