import type { Job, Machine, Task } from "../../bookkeeping/picture.js";
import { attemptOf } from "../../bookkeeping/tasks.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { Demand } from "../../protocol/user.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { fits, minus, plus } from "../placement/bfgp.js";
import { allows, zoneAllowed, zoneCounts } from "./eligibility.js";
import { type Floor, zonesWithRoom } from "./floor.js";
import type { Picture } from "./picture.js";
import { patienceOf } from "./promptness.js";
import type { Tally } from "./shares.js";
import { mayTry } from "./trial.js";

const PREEMPT_PAUSE = seconds(3);
const MOVE_PAUSE = seconds(0.3);
/** After a look in vain. */
const PREEMPT_RETRY = seconds(1);
/** Stopped tasks that save nothing leave within moments. */
const PROMISE = seconds(1);
/** Work is only stopped for a guarantee once this share of the time that it has is over: room may come up by itself. */
const GUARANTEE_PATIENCE = 0.6;
const GUARANTEE_TIME = seconds(10);
/** What a stop costs beyond the progress lost: getting going again, and, of the image's fetch, the share that is lost. */
const START_COST = seconds(1);
const FETCH_AGAIN = 0.5;
const ENDS_SOON = seconds(3);
const STOPS_A_START = 0.05;
const LEAST_SAVED = 16;
const SAVED_SHARE = 0.02;
/** Estimates of next to nothing would make no stop pay. */
const LEAST_WORTH = seconds(10);

/** Why a task is stopped for another: its priority is lower, its team borrows, or it has a place elsewhere. */
export type StopReason = "outranked" | "guarantee" | "moved";

export interface Victim {
  readonly task: Task;
  readonly graceS: number;
  /** Not to be placed again before. */
  readonly notBefore: Micros;
  readonly reason: StopReason;
}

export type PreemptAction =
  | { readonly kind: "stop"; readonly by: Task; readonly machine: Machine; readonly victims: readonly Victim[] }
  /** Room is not to be made for the task again before. */
  | { readonly kind: "look later"; readonly task: Task; readonly at: Micros };

/**
 * How many more tasks may be stopped for guarantees, or moved: one for every so many starts. Where guarantees, bursts and
 * losses come together, every stop makes work that soon needs another; without this bound more was stopped than ended
 * (the fleet site of 868 machines at twice its size: 38,271 stops among 56,463 starts).
 */
export class Allowance {
  private left = LEAST_SAVED;

  /** `running`: tasks on machines now; what is saved up for a wave grows with them. */
  started(running: number): void {
    this.left = Math.min(Math.max(LEAST_SAVED, running * SAVED_SHARE), this.left + STOPS_A_START);
  }

  take(count: number): boolean {
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}

/** Room that stopped tasks are about to leave, beyond what they were stopped for; kept from round to round. */
export type Promised = Map<Machine, { free: Demand; readonly until: Micros }>;

export interface StopMemory {
  readonly promised: Promised;
  readonly allowance: Allowance;
}

const patience = ({ settings }: Picture): number => {
  const objective = settings.objectives.find(({ kind }) => kind === "guarantee");
  return (objective?.within ?? GUARANTEE_TIME) * GUARANTEE_PATIENCE;
};

/** May a task of the other job be stopped for this one? The same for all of that job's tasks. */
const mayStopJob = (picture: Picture, task: Task, job: Job): "outranked" | "guarantee" | null => {
  const { now } = picture;
  if (job.cancelled) return null;
  const other = job.spec;
  // What went first so that its class is served at all is not to be stopped by those whom it went before.
  if (job.rank > task.job.rank) return job.lifted ? null : "outranked";
  // Replicas are not stopped for a guarantee: two teams' services kept driving each other off a scarce zone.
  if (other.shape === "service") return null;
  if (other.team === task.job.spec.team || now - task.waitingSince < patience(picture)) return null;
  const allowed = task.job.entitled && !job.entitled && job.rank >= task.job.rank;
  return allowed ? "guarantee" : null;
};

/**
 * A replica that could as well run in another zone, with room for it there now, makes way for one of a spread
 * job that cannot: it is moved, which takes seconds, where the other would wait for ever.
 */
const movableJob = (task: Task, job: Job): boolean => {
  const { spec } = job;
  if (!task.job.spec.spread || spec.shape !== "service" || job === task.job) return false;
  return job.rank >= task.job.rank;
};

const hasElsewhere = (victim: Task, floor: Floor): boolean => {
  const here = victim.on?.zone ?? "";
  let zones = floor.zonesWithRoom.get(victim.job);
  if (zones === undefined) {
    zones = zonesWithRoom(victim.job, floor);
    floor.zonesWithRoom.set(victim.job, zones);
  }
  for (const zone of zones) if (zone !== here) return true;
  return false;
};

/** What a search finds out about each other job once, and which machines have anything to be stopped at all. */
class Victims {
  private readonly reasons = new Map<
    Job,
    { readonly stop: "outranked" | "guarantee" | null; readonly moves: boolean }
  >();
  readonly machines = new Set<Machine>();

  constructor(
    picture: Picture,
    task: Task,
    private readonly floor: Floor,
  ) {
    for (const job of picture.block.jobs.values()) {
      if (job.placed.size === 0) continue;
      const stop = mayStopJob(picture, task, job);
      const moves = movableJob(task, job);
      if (stop === null && !moves) continue;
      this.reasons.set(job, { stop, moves });
      for (const machine of this.placedOn(picture, job)) this.machines.add(machine);
    }
  }

  /** Once a round: what is placed meanwhile has not been seen running, and is not stopped. */
  private placedOn({ work }: Picture, job: Job): readonly Machine[] {
    const known = this.floor.placedOn.get(job);
    if (known !== undefined) return known;
    work.visited += job.placed.size;
    const machines = new Set<Machine>();
    for (const { on } of job.placed) if (on !== null) machines.add(on);
    const list = [...machines];
    this.floor.placedOn.set(job, list);
    return list;
  }

  /** Moved where that is possible: it costs the least. */
  reason(victim: Task): StopReason | null {
    const known = this.reasons.get(victim.job);
    if (known === undefined || victim.stop !== null || victim.launch.kind !== "seen") return null;
    const { shares } = this.floor;
    if (known.moves && !shares.settled(victim, 1) && hasElsewhere(victim, this.floor)) return "moved";
    if (known.stop === null || shares.settled(victim)) return null;
    return known.stop === "outranked" || shares.sparable(victim) ? known.stop : null;
  }

  tally(): Tally {
    return this.floor.shares.tally();
  }
}

/** What is lost by stopping the task, as time of its machine's share: its progress, a fetch and a start. */
const lossOf = (victim: Task, now: Micros): number => {
  const { checkpointS, saveS, imageGb, demand } = victim.job.spec;
  const ran = victim.runningSince === null ? 0 : now - victim.runningSince;
  const fetch = seconds(imageGb / Math.max(0.01, victim.on?.type?.fetchGbPerS ?? 1)) * FETCH_AGAIN;
  const progress = checkpointS > 0 ? Math.min(ran, seconds(saveS)) : ran;
  // Each stop before makes it dearer: the same task's work was thrown away already.
  return (progress + fetch + START_COST) * Math.max(1, demand.cpu) * Math.max(1, attemptOf(victim.want));
};

/** It ends by itself about as soon as another would have started in its place. */
const endsAnyway = (victim: Task, now: Micros): boolean => {
  const { shape, estimateS } = victim.job.spec;
  if (shape === "service" || estimateS <= 0 || victim.runningSince === null) return false;
  const left = victim.runningSince + seconds(estimateS) - now;
  return left > -ENDS_SOON && left < ENDS_SOON;
};

/**
 * The most that may be lost for a task that is to get its guarantee, or whose class can wait: what it is itself going
 * to do. To throw away more than is gained leaves the queue longer than before. Without this bound for higher priority
 * 83 starts of four CPUs each ended 1,278 of a guest's small tasks within 20 s.
 */
const worthOf = (task: Task): number => {
  const { shape, estimateS, demand } = task.job.spec;
  if (shape === "service") return Number.POSITIVE_INFINITY;
  return Math.max(seconds(estimateS), LEAST_WORTH) * Math.max(1, demand.cpu);
};

interface Choice {
  readonly victims: readonly { readonly task: Task; readonly reason: StopReason }[];
  readonly cost: number;
  readonly machine: Machine;
  readonly free: Demand;
}

/** The cheapest set of tasks on this machine whose stop makes room, or null. */
const cheapestOn = (
  picture: Picture,
  task: Task,
  machine: Machine,
  type: MachineType,
  found: Victims,
): Choice | null => {
  const { now, work } = picture;
  const { demand } = task.job.spec;
  work.visited += machine.tasks.size;
  const order: { task: Task; reason: StopReason; loss: number }[] = [];
  for (const victim of machine.tasks) {
    const reason = found.reason(victim);
    if (reason === null || (reason === "guarantee" && endsAnyway(victim, now))) continue;
    // A move costs no work: the replica goes on elsewhere.
    order.push({ task: victim, reason, loss: reason === "moved" ? 0 : lossOf(victim, now) });
  }
  order.sort((a, b) => b.task.job.rank - a.task.job.rank || a.loss - b.loss);
  let free = minus(type.capacity, machine.used);
  let cost = 0;
  const victims: { task: Task; reason: StopReason }[] = [];
  const spared = found.tally();
  let guarantee = false;
  for (const { task: victim, reason, loss } of order) {
    if (fits(demand, free)) break;
    // Counted together: each alone may leave its team the guarantee, and several of them not.
    if (reason === "guarantee" && !spared.take(victim)) continue;
    guarantee ||= reason === "guarantee";
    victims.push({ task: victim, reason });
    free = plus(free, victim.job.spec.demand);
    cost += loss;
  }
  if (victims.length === 0 || !fits(demand, free)) return null;
  const pays = cost <= worthOf(task);
  // For a higher rank more may be lost than gained, but not before what comes free by itself has had its time.
  if (!pays && (guarantee || now - task.waitingSince < patienceOf(task.job.spec, picture.settings))) return null;
  return { victims, cost, machine, free };
};

/** Stops the cheapest set of tasks on one machine that makes room for the task, where the rules allow it. */
function* preempt(
  picture: Picture,
  { promised, allowance }: StopMemory,
  task: Task,
  floor: Floor,
  counts: Map<string, number>,
): Generator<PreemptAction, boolean> {
  const { now } = picture;
  const { spec } = task.job;
  // Looks at every task that may be stopped, so it is not done for all that wait in each round.
  floor.preemptions += 1;
  const found = new Victims(picture, task, floor);
  let best: Choice | null = null;
  for (const machine of found.machines.size === 0 ? [] : floor.machines) {
    if (!found.machines.has(machine)) continue;
    if (machine.type === null || !allows(spec, machine.typeName, machine.zone, machine.spot)) continue;
    if (!zoneAllowed(spec, counts, machine.zone)) continue;
    const choice = cheapestOn(picture, task, machine, machine.type, found);
    if (choice !== null && (best === null || choice.cost < best.cost)) best = choice;
  }
  yield { kind: "look later", task, at: (now + (best === null ? PREEMPT_RETRY : PREEMPT_PAUSE)) as Micros };
  if (best === null) return false;
  const optional = best.victims.filter(({ reason }) => reason !== "outranked").length;
  if (!allowance.take(optional)) return false;
  const { machine } = best;
  promised.set(machine, { free: minus(best.free, spec.demand), until: (now + PROMISE) as Micros });
  counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
  const victims = best.victims.map(({ task: victim, reason }): Victim => {
    const { checkpointS, saveS } = victim.job.spec;
    return {
      task: victim,
      graceS: checkpointS > 0 ? Math.ceil(saveS) : 0,
      // Without a pause it could be back before the other has come.
      notBefore: (now + (reason === "moved" ? MOVE_PAUSE : PREEMPT_PAUSE)) as Micros,
      reason,
    };
  });
  for (const { task: victim } of victims) floor.shares.stopped(victim);
  yield { kind: "stop", by: task, machine, victims };
  // Their room is spoken for: nothing else of this round is to count on it.
  for (const { roomy } of floor.pools) {
    const at = roomy.findIndex((server) => server.machine === machine);
    if (at >= 0) roomy.splice(at, 1);
  }
  return true;
}

/** Room that stopped tasks are about to leave, beyond what they were stopped for. */
function* usePromised(
  picture: Picture,
  promised: Promised,
  task: Task,
  counts: Map<string, number>,
): Generator<PreemptAction, boolean> {
  const { spec } = task.job;
  for (const [machine, room] of promised) {
    if (!fits(spec.demand, room.free) || !allows(spec, machine.typeName, machine.zone, machine.spot)) continue;
    if (!zoneAllowed(spec, counts, machine.zone)) continue;
    room.free = minus(room.free, spec.demand);
    counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
    yield { kind: "look later", task, at: (picture.now + PREEMPT_PAUSE) as Micros };
    return true;
  }
  return false;
}

/** For the task that found no room and for the rest of its job: after a wave hundreds wait at once. */
export function* makeRoom(picture: Picture, memory: StopMemory, left: Task, floor: Floor): Generator<PreemptAction> {
  const { now } = picture;
  const { promised } = memory;
  const counts = zoneCounts(left.job);
  for (const [machine, { until }] of promised) if (until <= now) promised.delete(machine);
  const most = mayTry(left.job, now);
  let made = 0;
  for (const task of left.job.waiting) {
    if (floor.preemptions >= picture.searches || made >= most) return;
    if (task.notBefore > now || task.preemptAfter > now) continue;
    const found =
      (yield* usePromised(picture, promised, task, counts)) || (yield* preempt(picture, memory, task, floor, counts));
    if (!found) return;
    made += 1;
  }
}
