import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Resources } from "../../protocol/resources.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { allows, zoneAllowed, zoneCounts } from "./eligibility.js";
import { addResources, countThatFit, subtractResources } from "./placement/bfgp.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** Beyond this nothing is kept for a job: the room is worth more to others, and the wait is somebody else's to mend. */
const MAX_RESERVATION = seconds(100);
/** Estimates are often wrong by half. */
const RESERVATION_FACTOR = 2;
const RESERVATION_SLACK = seconds(10);
/** A job for which nothing could be kept is looked at again after this time, one for which it was in vain after the other. */
const RETRY_DELAY = seconds(20);
const FAILED_RETRY_DELAY = seconds(60);
/** Jobs that a round looks for room to keep for. */
const MAX_SEARCHES = 2;
/** What is to end before the kept room is complete may fill it meanwhile, its estimate taken so many times. */
const BACKFILL_FACTOR = 1.5;

/** Room that comes free, kept for the job that has waited longest. */
export interface Reservation {
  readonly job: Job;
  /** When each machine is expected to have the room; none: it is the team's limit that is kept. */
  readonly machines: ReadonlyMap<Machine, Micros>;
  readonly until: Micros;
}

export interface ReservationState {
  reservation: Reservation | null;
  /** Not looked at again before. */
  readonly retryAt: Map<Job, Micros>;
}

export type ReservationAction =
  | { readonly kind: "reserve"; readonly reservation: Reservation }
  | { readonly kind: "unreserve"; readonly job: Job; readonly why: "begun" | "in vain" | "ended" }
  /** Nowhere will there be room for it in a time that could be waited for. */
  | { readonly kind: "no capacity to reserve"; readonly job: Job };

/** So many tasks at once a job needs to have begun: a gang all of them, a service half, an array one. */
const tasksNeeded = ({ shape, tasks }: JobSpec): number => {
  if (shape === "gang") return tasks;
  return shape === "service" ? Math.ceil(tasks / 2) : 1;
};

/** A service, whose replicas come one by one, is as good as begun with half of them; it waits for one at a time. */
export const hasStarted = (job: Job): boolean =>
  job.spec.shape === "array" ? job.started : job.placedTasks.size + job.completedTasks >= tasksNeeded(job.spec);

/** What has to fit at once. */
const tasksPlacedTogether = ({ shape, tasks }: JobSpec): number => (shape === "gang" ? tasks : 1);

/** What it takes to begin, in thousandths of CPUs. */
export const cpuToStart = (spec: JobSpec): number => tasksPlacedTogether(spec) * spec.demand.cpu;

/** When a task is expected to end, by its owner's estimate; null for replicas and where nothing is said of its time. */
const expectedEnd = ({ runningSince, job: { spec } }: Task, now: Micros): Micros | null => {
  if (spec.shape === "service" || spec.estimatedRunS <= 0) return null;
  return Math.max((runningSince ?? now) + seconds(spec.estimatedRunS), now + seconds(1)) as Micros;
};

/** When the machine will have room for a task of the job, as its tasks are expected to end; how many by then. */
const capacityAvailableAt = (
  machine: Machine,
  spec: JobSpec,
  all: boolean,
  now: Micros,
): { at: Micros; count: number } | null => {
  const { type } = machine;
  if (type === null) return null;
  let free: Resources = subtractResources(type.capacity, machine.load.used);
  if (!all && countThatFit(spec.demand, free) > 0) return { at: now, count: 1 };
  const ends: { at: Micros; demand: Resources }[] = [];
  for (const task of machine.tasks) {
    const at = expectedEnd(task, now);
    if (at !== null) ends.push({ at, demand: task.job.spec.demand });
  }
  ends.sort((a, b) => a.at - b.at);
  let at = now;
  for (const end of ends) {
    free = addResources(free, end.demand);
    at = end.at;
    if (!all && countThatFit(spec.demand, free) > 0) return { at, count: 1 };
  }
  const count = countThatFit(spec.demand, free);
  return count === 0 ? null : { at, count };
};

/** When so much of its team's limit is expected to be free that the job can begin; null where not within bounds. */
const limitAvailableAt = ({ shard, now, settings, inspection }: SchedulerSnapshot, { spec }: Job): Micros | null => {
  const limit = settings.teams.get(spec.team)?.limit;
  if (limit === undefined) return now;
  const ends: { at: Micros; cpu: number; gpu: number }[] = [];
  for (const { spec: other, placedTasks } of shard.jobs.values()) {
    if (other.team !== spec.team) continue;
    inspection.count += placedTasks.size;
    const { cpu, gpu } = other.demand;
    for (const task of placedTasks) {
      const at = expectedEnd(task, now);
      if (at !== null) ends.push({ at, cpu, gpu });
    }
  }
  ends.sort((a, b) => a.at - b.at);
  const used = shard.teamUsage(spec.team);
  const need = tasksPlacedTogether(spec);
  let cpu = used.cpu + spec.demand.cpu * need;
  let gpu = used.gpu + spec.demand.gpu * need;
  const fits = (): boolean => (limit.cpu === null || cpu <= limit.cpu) && (limit.gpu === null || gpu <= limit.gpu);
  let at = now;
  for (const end of ends) {
    if (fits()) break;
    at = end.at;
    cpu -= end.cpu;
    gpu -= end.gpu;
  }
  return fits() && at - now <= MAX_RESERVATION ? at : null;
};

/** The machines that will have room for the job soonest, and when; null where they never will. */
const earliestMachines = (
  snapshot: SchedulerSnapshot,
  job: Job,
  machines: readonly Machine[],
): Map<Machine, Micros> | null => {
  const { spec } = job;
  const counts = zoneCounts(job);
  const whole = spec.shape === "gang";
  const found = machines.flatMap((machine) => {
    if (!allows(spec, machine.typeName, machine.zone, machine.spot)) return [];
    if (!zoneAllowed(spec, counts, machine.zone)) return [];
    const room = capacityAvailableAt(machine, spec, whole, snapshot.now);
    return room === null ? [] : [{ machine, ...room }];
  });
  snapshot.inspection.count += machines.length;
  found.sort((a, b) => a.at - b.at || b.count - a.count);
  const zones = spec.singleZone ? [...new Set(found.map(({ machine }) => machine.zone))] : [null];
  let best: { chosen: Map<Machine, Micros>; at: Micros } | null = null;
  for (const zone of zones) {
    const chosen = new Map<Machine, Micros>();
    let left = tasksPlacedTogether(spec);
    let last = snapshot.now;
    for (const { machine, at, count } of found) {
      if (zone !== null && machine.zone !== zone) continue;
      chosen.set(machine, at);
      last = Math.max(last, at) as Micros;
      left -= count;
      if (left <= 0) break;
    }
    if (left <= 0 && (best === null || last < best.at)) best = { chosen, at: last };
  }
  return best === null || best.at - snapshot.now > MAX_RESERVATION ? null : best.chosen;
};

/**
 * Keeps room for the longest waiting job that needs more at once than comes free by itself: a whole machine, all of a gang,
 * the rest of its team's limit. Small work beside it takes every bit as soon as it is free, so that it would wait for ever;
 * others fill in only what ends before (backfilling with one reservation, EASY). One at a time, for a bounded time, so that
 * it can idle no more than what one job is going to use. `late`: those that have waited for too long, oldest first, to
 * which this round had nothing to give.
 */
export function* reserveCapacity(
  snapshot: SchedulerSnapshot,
  state: ReservationState,
  late: readonly Job[],
  machines: readonly Machine[],
): Generator<ReservationAction> {
  const { shard, now } = snapshot;
  const { reservation, retryAt } = state;
  if (reservation !== null) {
    const { job } = reservation;
    const ended = job.cancelled || job.outcomePending || !shard.jobs.has(job.spec.id);
    const why = ended ? "ended" : hasStarted(job) ? "begun" : now > reservation.until ? "in vain" : null;
    if (why === null) return;
    state.reservation = null;
    if (why === "in vain") retryAt.set(job, (now + FAILED_RETRY_DELAY) as Micros);
    yield { kind: "unreserve", job, why };
  }
  for (const [job, at] of retryAt) if (at <= now || !shard.jobs.has(job.spec.id)) retryAt.delete(job);
  let searches = 0;
  for (const job of late) {
    if (retryAt.has(job) || hasStarted(job)) continue;
    // Each looks at every machine.
    searches += 1;
    if (searches > MAX_SEARCHES) return;
    const limited = !shard.withinLimit(job.spec, tasksPlacedTogether(job.spec));
    const chosen = limited ? new Map<Machine, Micros>() : earliestMachines(snapshot, job, machines);
    const at = limited ? limitAvailableAt(snapshot, job) : chosen === null ? null : Math.max(now, ...chosen.values());
    if (chosen === null || at === null) {
      retryAt.set(job, (now + RETRY_DELAY) as Micros);
      yield { kind: "no capacity to reserve", job };
      continue;
    }
    const until = Math.min(now + MAX_RESERVATION, now + (at - now) * RESERVATION_FACTOR + RESERVATION_SLACK) as Micros;
    state.reservation = { job, machines: chosen, until };
    yield { kind: "reserve", reservation: state.reservation };
    return;
  }
}

/** May a task of the job go there, or is the machine's room kept for another until later than it ends? */
export const mayBackfill = (reservation: Reservation | null, job: Job, machine: Machine, now: Micros): boolean => {
  const at = reservation?.machines.get(machine);
  if (at === undefined || reservation?.job === job) return true;
  const { shape, estimatedRunS } = job.spec;
  return shape !== "service" && estimatedRunS > 0 && now + seconds(estimatedRunS * BACKFILL_FACTOR) <= at;
};

/** Is what is left of the team's limit kept for another of its jobs? */
export const isLimitReserved = (reservation: Reservation | null, job: Job): boolean =>
  reservation !== null &&
  reservation.machines.size === 0 &&
  reservation.job !== job &&
  reservation.job.spec.team === job.spec.team;
