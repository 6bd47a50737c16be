import type { Job, Machine, Task } from "../../bookkeeping/picture.js";
import type { Demand, JobSpec } from "../../protocol/user.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { howMany, minus, plus } from "../placement/bfgp.js";
import { allows, zoneAllowed, zoneCounts } from "./eligibility.js";
import type { Picture } from "./picture.js";

/** Beyond this nothing is kept for a job: the room is worth more to others, and the wait is somebody else's to mend. */
const HOLD_MOST = seconds(100);
/** Estimates are often wrong by half. */
const HOLD_TIMES = 2;
const HOLD_SLACK = seconds(10);
/** A job for which nothing could be kept is looked at again after this time, one for which it was in vain after the other. */
const PAUSE = seconds(20);
const VAIN_PAUSE = seconds(60);
/** Jobs that a round looks for room to keep for. */
const SEARCHES = 2;
/** What is to end before the kept room is complete may fill it meanwhile, its estimate taken so many times. */
const FILL_TIMES = 1.5;

/** Room that comes free, kept for the job that has waited longest. */
export interface Reservation {
  readonly job: Job;
  /** When each machine is expected to have the room; none: it is the team's limit that is kept. */
  readonly machines: ReadonlyMap<Machine, Micros>;
  readonly until: Micros;
}

export interface ReservationMemory {
  reservation: Reservation | null;
  /** Not looked at again before. */
  readonly lookAgain: Map<Job, Micros>;
}

export type ReservationAction =
  | { readonly kind: "reserve"; readonly reservation: Reservation }
  | { readonly kind: "unreserve"; readonly job: Job; readonly why: "begun" | "in vain" | "ended" }
  /** Nowhere will there be room for it in a time that could be waited for. */
  | { readonly kind: "no such room"; readonly job: Job };

/** So many tasks at once a job needs to have begun: a gang all of them, a service half, an array one. */
const needOf = ({ shape, tasks }: JobSpec): number => {
  if (shape === "gang") return tasks;
  return shape === "service" ? Math.ceil(tasks / 2) : 1;
};

/** A service, whose replicas come one by one, is as good as begun with half of them; it waits for one at a time. */
export const hasBegun = (job: Job): boolean =>
  job.spec.shape === "array" ? job.begun : job.placed.size + job.done >= needOf(job.spec);

/** What has to fit at once. */
const atOnce = ({ shape, tasks }: JobSpec): number => (shape === "gang" ? tasks : 1);

/** What it takes to begin, in thousandths of CPUs. */
export const cpuToBegin = (spec: JobSpec): number => atOnce(spec) * spec.demand.cpu;

/** When a task is expected to end, by its owner's estimate; null for replicas and where nothing is said of its time. */
const endOf = ({ runningSince, job: { spec } }: Task, now: Micros): Micros | null => {
  if (spec.shape === "service" || spec.estimateS <= 0) return null;
  return Math.max((runningSince ?? now) + seconds(spec.estimateS), now + seconds(1)) as Micros;
};

/** When the machine will have room for a task of the job, as its tasks are expected to end; how many by then. */
const roomAt = (machine: Machine, spec: JobSpec, all: boolean, now: Micros): { at: Micros; count: number } | null => {
  const { type } = machine;
  if (type === null) return null;
  let free: Demand = minus(type.capacity, machine.used);
  if (!all && howMany(spec.demand, free) > 0) return { at: now, count: 1 };
  const ends: { at: Micros; demand: Demand }[] = [];
  for (const task of machine.tasks) {
    const at = endOf(task, now);
    if (at !== null) ends.push({ at, demand: task.job.spec.demand });
  }
  ends.sort((a, b) => a.at - b.at);
  let at = now;
  for (const end of ends) {
    free = plus(free, end.demand);
    at = end.at;
    if (!all && howMany(spec.demand, free) > 0) return { at, count: 1 };
  }
  const count = howMany(spec.demand, free);
  return count === 0 ? null : { at, count };
};

/** When so much of its team's limit is expected to be free that the job can begin; null where not within bounds. */
const limitFreeAt = ({ block, now, settings, work }: Picture, { spec }: Job): Micros | null => {
  const limit = settings.teams.get(spec.team)?.limit;
  if (limit === undefined) return now;
  const ends: { at: Micros; cpu: number; gpu: number }[] = [];
  for (const { spec: other, placed } of block.jobs.values()) {
    if (other.team !== spec.team) continue;
    work.visited += placed.size;
    const { cpu, gpu } = other.demand;
    for (const task of placed) {
      const at = endOf(task, now);
      if (at !== null) ends.push({ at, cpu, gpu });
    }
  }
  ends.sort((a, b) => a.at - b.at);
  const used = block.teamUse(spec.team);
  const need = atOnce(spec);
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
  return fits() && at - now <= HOLD_MOST ? at : null;
};

/** The machines that will have room for the job soonest, and when; null where they never will. */
const soonest = (picture: Picture, job: Job, machines: readonly Machine[]): Map<Machine, Micros> | null => {
  const { spec } = job;
  const counts = zoneCounts(job);
  const whole = spec.shape === "gang";
  const found = machines.flatMap((machine) => {
    if (!allows(spec, machine.typeName, machine.zone, machine.spot)) return [];
    if (!zoneAllowed(spec, counts, machine.zone)) return [];
    const room = roomAt(machine, spec, whole, picture.now);
    return room === null ? [] : [{ machine, ...room }];
  });
  picture.work.visited += machines.length;
  found.sort((a, b) => a.at - b.at || b.count - a.count);
  const zones = spec.oneZone ? [...new Set(found.map(({ machine }) => machine.zone))] : [null];
  let best: { chosen: Map<Machine, Micros>; at: Micros } | null = null;
  for (const zone of zones) {
    const chosen = new Map<Machine, Micros>();
    let left = atOnce(spec);
    let last = picture.now;
    for (const { machine, at, count } of found) {
      if (zone !== null && machine.zone !== zone) continue;
      chosen.set(machine, at);
      last = Math.max(last, at) as Micros;
      left -= count;
      if (left <= 0) break;
    }
    if (left <= 0 && (best === null || last < best.at)) best = { chosen, at: last };
  }
  return best === null || best.at - picture.now > HOLD_MOST ? null : best.chosen;
};

/**
 * Keeps room for the longest waiting job that needs more at once than comes free by itself: a whole machine, all of a gang,
 * the rest of its team's limit. Small work beside it takes every bit as soon as it is free, so that it would wait for ever;
 * others fill in only what ends before (backfilling with one reservation, EASY). One at a time, for a bounded time, so that
 * it can idle no more than what one job is going to use. `late`: those that have waited for too long, oldest first, to
 * which this round had nothing to give.
 */
export function* keepRoom(
  picture: Picture,
  memory: ReservationMemory,
  late: readonly Job[],
  machines: readonly Machine[],
): Generator<ReservationAction> {
  const { block, now } = picture;
  const { reservation, lookAgain } = memory;
  if (reservation !== null) {
    const { job } = reservation;
    const ended = job.cancelled || job.ending || !block.jobs.has(job.spec.id);
    const why = ended ? "ended" : hasBegun(job) ? "begun" : now > reservation.until ? "in vain" : null;
    if (why === null) return;
    memory.reservation = null;
    if (why === "in vain") lookAgain.set(job, (now + VAIN_PAUSE) as Micros);
    yield { kind: "unreserve", job, why };
  }
  for (const [job, at] of lookAgain) if (at <= now || !block.jobs.has(job.spec.id)) lookAgain.delete(job);
  let searches = 0;
  for (const job of late) {
    if (lookAgain.has(job) || hasBegun(job)) continue;
    // Each looks at every machine.
    searches += 1;
    if (searches > SEARCHES) return;
    const limited = !block.withinLimit(job.spec, atOnce(job.spec));
    const chosen = limited ? new Map<Machine, Micros>() : soonest(picture, job, machines);
    const at = limited ? limitFreeAt(picture, job) : chosen === null ? null : Math.max(now, ...chosen.values());
    if (chosen === null || at === null) {
      lookAgain.set(job, (now + PAUSE) as Micros);
      yield { kind: "no such room", job };
      continue;
    }
    const until = Math.min(now + HOLD_MOST, now + (at - now) * HOLD_TIMES + HOLD_SLACK) as Micros;
    memory.reservation = { job, machines: chosen, until };
    yield { kind: "reserve", reservation: memory.reservation };
    return;
  }
}

/** May a task of the job go there, or is the machine's room kept for another until later than it ends? */
export const mayFill = (reservation: Reservation | null, job: Job, machine: Machine, now: Micros): boolean => {
  const at = reservation?.machines.get(machine);
  if (at === undefined || reservation?.job === job) return true;
  const { shape, estimateS } = job.spec;
  return shape !== "service" && estimateS > 0 && now + seconds(estimateS * FILL_TIMES) <= at;
};

/** Is what is left of the team's limit kept for another of its jobs? */
export const limitKept = (reservation: Reservation | null, job: Job): boolean =>
  reservation !== null &&
  reservation.machines.size === 0 &&
  reservation.job !== job &&
  reservation.job.spec.team === job.spec.team;
