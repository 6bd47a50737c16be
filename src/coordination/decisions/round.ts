import type { Block } from "../../bookkeeping/block.js";
import type { Job, Machine, Task } from "../../bookkeeping/picture.js";
import { attemptOf } from "../../bookkeeping/tasks.js";
import { assign } from "../placement/bfgp.js";
import { zoneCounts } from "./eligibility.js";
import { type Candidate, copyOf, type Floor, knownFull, noteFull, roomiest, survey } from "./floor.js";
import { waitingJobs } from "./order.js";
import type { Picture } from "./picture.js";
import { Allowance, makeRoom, type PreemptAction, type StopMemory } from "./preemption.js";
import { laneOf } from "./promptness.js";
import { hasBegun, keepRoom, limitKept, type ReservationAction, type ReservationMemory } from "./reservation.js";
import { startRun } from "./run.js";
import { LATEST, type Lifted, liftStarved, Served } from "./served.js";
import { Shares } from "./shares.js";
import { mayTry } from "./trial.js";

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
export const applyAction = (block: Block, action: RoundAction): void => {
  switch (action.kind) {
    case "place": {
      const { task, machine } = action;
      block.occupy(task, machine);
      task.want = { kind: "placed", attempt: attemptOf(task.want) + 1, machine: machine.name };
      return;
    }
    case "look later":
      action.task.preemptAfter = action.at;
      return;
    case "stop":
      for (const { task, graceS, notBefore } of action.victims) {
        task.stop = { graceS };
        task.notBefore = notBefore;
      }
      return;
    case "dissolve": {
      const { checkpointS, saveS } = action.job.spec;
      for (const task of action.job.placed) task.stop ??= { graceS: checkpointS > 0 ? Math.ceil(saveS) : 0 };
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
export interface RoundMemory extends StopMemory, ReservationMemory {
  guaranteesShort: boolean;
  readonly served: Served;
}

export const newMemory = (): RoundMemory => ({
  promised: new Map(),
  allowance: new Allowance(),
  guaranteesShort: false,
  served: new Served(),
  reservation: null,
  lookAgain: new Map(),
});

/** Where it has become so, it only ends once there is clearly more room than is claimed. */
const CLEARLY = 0.9;

/** So many of the machines with work have to be known for their room to tell anything. */
const KNOWN_SHARE = 0.8;

const countWithWork = ({ block }: Picture): number => {
  let count = 0;
  for (const { tasks } of block.machines.values()) if (tasks.size > 0) count += 1;
  return count;
};

/** What came of a job: the first task without room, or that it may go on, or nothing to make room for. */
type Left = Task | "more" | null;

/** All of a gang's open tasks in this round, or none. */
function* placeGang(
  picture: Picture,
  job: Job,
  floor: Floor,
  counts: Map<string, number>,
): Generator<RoundAction, Left> {
  const { block, now } = picture;
  const { spec } = job;
  while (block.openRange(job));
  const tasks = [...job.waiting].sort((a, b) => a.index - b.index);
  const first = tasks[0];
  if (first === undefined) return null;
  if (tasks.some((task) => task.notBefore > now)) {
    yield { kind: "wait", job, reason: "gang incomplete" };
    return null;
  }
  if (job.placed.size > 0) {
    // The sooner the rest is stopped, the sooner it starts anew together.
    yield { kind: "dissolve", job };
    return null;
  }
  if (limitKept(floor.reservation, job) || !block.withinLimit(spec, tasks.length)) {
    yield { kind: "wait", job, reason: "team limit" };
    return null;
  }
  // Works on copies: nothing of a gang that does not fit whole must be left behind.
  const pools = floor.pools.map((pool) => ({ ...pool, roomy: pool.roomy.map(copyOf) }));
  const run = startRun(picture, job, { ...floor, pools }, counts);
  const chosen: Candidate[] = [];
  for (const task of tasks) {
    const server = run.next();
    if (server === null) return task;
    assign(spec, server);
    run.taken(server);
    if (!block.fitsRecord(task, server.machine.name)) {
      yield { kind: "wait", job, reason: "records" };
      return null;
    }
    chosen.push(server);
  }
  const originals = new Map(floor.pools.flatMap(({ roomy }) => roomy.map((server) => [server.machine, server])));
  for (const [index, task] of tasks.entries()) {
    const server = originals.get(chosen[index]?.machine as Machine);
    if (server === undefined) continue;
    yield { kind: "place", task, machine: server.machine };
    assign(spec, server);
  }
  return null;
}

/** Places a job's waiting tasks, one after the other. */
function* place(picture: Picture, job: Job, floor: Floor, lifted: Lifted | null): Generator<RoundAction, Left> {
  const { block, now } = picture;
  const { spec } = job;
  const counts = zoneCounts(job);
  if (spec.oneZone && job.placed.size === 0) {
    const zone = roomiest(job, floor);
    if (zone === null) return [...job.waiting][0] ?? null;
    // Keeps the other zones out even before the first task is there.
    counts.set(zone, Number.MIN_VALUE);
  }
  if (spec.shape === "gang") {
    const all = spec.demand.cpu * spec.tasks;
    if (lifted !== null && lifted.left < all) return null;
    const left = yield* placeGang(picture, job, floor, counts);
    if (lifted !== null && job.waiting.size === 0) lifted.left -= all;
    return left;
  }
  const tasks = [...job.waiting].filter((task) => task.notBefore <= now).sort((a, b) => a.index - b.index);
  const first = tasks[0];
  if (first !== undefined && knownFull(job, floor, now)) {
    if (block.withinLimit(spec)) return first;
    yield { kind: "wait", job, reason: "team limit" };
    return null;
  }
  const run = startRun(picture, job, floor, counts);
  const lane = laneOf(job, picture.settings);
  let heldBack = 0;
  for (const task of tasks) {
    if (mayTry(job, now) === 0 || (lifted !== null && lifted.left < spec.demand.cpu)) return null;
    if (limitKept(floor.reservation, job) || !block.withinLimit(spec)) {
      yield { kind: "wait", job, reason: "team limit" };
      return null;
    }
    const server = run.next();
    if (server === null) {
      noteFull(job, floor, now);
      return task;
    }
    // The range's value would become larger than is taken: until some of it has ended, others of the job go on.
    if (!block.fitsRecord(task, server.machine.name)) {
      heldBack += 1;
      continue;
    }
    // Placed ahead of its record, a task only keeps room from those whose record is about to be written; that one
    // write takes along all that its range is given meanwhile.
    if (task.range.marked === null) {
      if (floor.records[lane] < 1) {
        yield { kind: "wait", job, reason: "records" };
        return null;
      }
      floor.records.work -= 1;
      if (lane === "prompt") floor.records.prompt -= 1;
    }
    yield { kind: "place", task, machine: server.machine };
    assign(spec, server);
    run.taken(server);
    if (lifted !== null) lifted.left -= spec.demand.cpu;
  }
  return job.waiting.size === heldBack && block.openRange(job) ? "more" : null;
}

/**
 * One placement round: what is waiting, in order, each task on the machine that Algorithm 1 chooses (docs/design.md),
 * and room made where the rules allow it.
 */
export function* decideRound(picture: Picture, memory: RoundMemory): Generator<RoundAction> {
  const shares = new Shares(picture);
  const jobs = waitingJobs(picture);
  if (jobs.length === 0) return;
  const floor = survey(picture, jobs, shares, memory.reservation);
  const room = floor.machines.reduce((sum, { type }) => sum + (type?.capacity.cpu ?? 0), 0);
  const short = shares.claimed > room * (memory.guaranteesShort ? CLEARLY : 1);
  // A new holder has hardly heard of its machines yet: that their room is unknown does not make it short.
  if (short !== memory.guaranteesShort && floor.machines.length >= KNOWN_SHARE * countWithWork(picture)) {
    memory.guaranteesShort = short;
    yield { kind: "guarantees", short, claimed: shares.claimed, room };
  }
  const running = floor.machines.reduce((sum, { tasks }) => sum + tasks.size, 0);
  const lifted = liftStarved(picture, memory.served, jobs, room);
  const late: Job[] = [];
  // Room only shrinks within a round: what found none is not to look for it a second time.
  const without = new Map<Job, Task>();
  for (const job of lifted.jobs) {
    const left = yield* placeAll(picture, memory, job, floor, running, lifted);
    if (left !== null) without.set(job, left);
    if (picture.now - job.seenAt > LATEST && !hasBegun(job)) late.push(job);
  }
  yield* keepRoom(picture, memory, late, floor.machines);
  floor.reservation = memory.reservation;
  for (const job of jobs) {
    // Not looked at any closer: with thousands of jobs waiting for the records, rounds would take seconds to no avail.
    if (floor.records[laneOf(job, picture.settings)] < 1 && !job.ranges.some(({ marked }) => marked !== null)) {
      yield { kind: "wait", job, reason: "records" };
      continue;
    }
    if (job.waiting.size === 0) continue;
    const left = without.get(job) ?? (yield* placeAll(picture, memory, job, floor, running, null));
    if (left === null) continue;
    yield { kind: "wait", job, reason: job.spec.oneZone && job.placed.size === 0 ? "no zone" : "no room" };
    if (job.spec.shape !== "gang") yield* makeRoom(picture, memory, left, floor);
  }
}

/** Range by range. Returns the first task without room, if there is one. */
function* placeAll(
  picture: Picture,
  memory: RoundMemory,
  job: Job,
  floor: Floor,
  running: number,
  lifted: Lifted | null,
): Generator<RoundAction, Task | null> {
  const before = job.placed.size;
  let left = yield* place(picture, job, floor, lifted);
  while (left === "more") left = yield* place(picture, job, floor, lifted);
  for (let at = before; at < job.placed.size; at += 1) memory.allowance.started(running);
  if (job.placed.size > before) memory.served.placed(job);
  return left;
}
