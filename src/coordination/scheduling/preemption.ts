import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import { attemptOf, type Task } from "../../cluster/task.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Resources } from "../../protocol/resources.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { allowedStarts } from "../workers/failure-attribution.js";
import { type CandidateIndex, zonesWithCapacity } from "./candidate-index.js";
import { allows, zoneAllowed, zoneCounts } from "./eligibility.js";
import type { VictimTally } from "./guarantee-usage.js";
import { addResources, fits, subtractResources } from "./placement/bfgp.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { maxQueueTime } from "./start-deadline.js";

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
export type PreemptionReason = "outranked" | "guarantee" | "moved";

export interface PreemptedTask {
  readonly task: Task;
  readonly graceS: number;
  /** Not to be placed again before. */
  readonly notBefore: Micros;
  readonly reason: PreemptionReason;
}

export type PreemptAction =
  | {
      readonly kind: "preempt";
      readonly by: Task;
      readonly machine: Machine;
      readonly victims: readonly PreemptedTask[];
    }
  /** Room is not to be made for the task again before. */
  | { readonly kind: "postpone search"; readonly task: Task; readonly notBefore: Micros };

/**
 * How many more tasks may be stopped for guarantees, or moved: one for every so many starts. Where guarantees, bursts and
 * losses come together, every stop makes work that soon needs another; without this bound more was stopped than ended
 * (the fleet site of 868 machines at twice its size: 38,271 stops among 56,463 starts).
 */
export class PreemptionBudget {
  private left = LEAST_SAVED;

  /** `running`: tasks on machines now; what is saved up for a wave grows with them. */
  taskStarted(running: number): void {
    this.left = Math.min(Math.max(LEAST_SAVED, running * SAVED_SHARE), this.left + STOPS_A_START);
  }

  take(count: number): boolean {
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}

/** Room that stopped tasks are about to leave, beyond what they were stopped for; kept from round to round. */
export type PromisedCapacity = Map<Machine, { free: Resources; readonly until: Micros }>;

export interface PreemptionState {
  readonly promised: PromisedCapacity;
  readonly budget: PreemptionBudget;
}

/** The time that a task which is stopped is given to save its progress, in whole seconds; 0 where it saves none. */
export const checkpointGraceS = ({
  checkpointIntervalS,
  checkpointDurationS,
}: Pick<JobSpec, "checkpointIntervalS" | "checkpointDurationS">): number =>
  checkpointIntervalS > 0 ? Math.ceil(checkpointDurationS) : 0;

const guaranteePatience = ({ settings }: SchedulerSnapshot): number => {
  const objective = settings.objectives.find(({ kind }) => kind === "guarantee");
  return (objective?.within ?? GUARANTEE_TIME) * GUARANTEE_PATIENCE;
};

/** May a task of the other job be stopped for this one? The same for all of that job's tasks. */
const preemptionReason = (snapshot: SchedulerSnapshot, task: Task, job: Job): "outranked" | "guarantee" | null => {
  const { now } = snapshot;
  if (job.cancelled) return null;
  const other = job.spec;
  // What went first so that its class is served at all is not to be stopped by those whom it went before.
  if (job.effectiveRank > task.job.effectiveRank) return job.boosted ? null : "outranked";
  // Replicas are not stopped for a guarantee: two teams' services kept driving each other off a scarce zone.
  if (other.shape === "service") return null;
  if (other.team === task.job.spec.team || now - task.waitingSince < guaranteePatience(snapshot)) return null;
  const allowed = task.job.withinGuarantee && !job.withinGuarantee && job.effectiveRank >= task.job.effectiveRank;
  return allowed ? "guarantee" : null;
};

/**
 * A replica that could as well run in another zone, with room for it there now, makes way for one of a spread
 * job that cannot: it is moved, which takes seconds, where the other would wait for ever.
 */
const isMovable = (task: Task, job: Job): boolean => {
  const { spec } = job;
  if (!task.job.spec.spread || spec.shape !== "service" || job === task.job) return false;
  return job.effectiveRank >= task.job.effectiveRank;
};

const hasCapacityElsewhere = (victim: Task, candidateIndex: CandidateIndex): boolean => {
  const here = victim.machine?.zone ?? "";
  let zones = candidateIndex.zonesWithCapacity.get(victim.job);
  if (zones === undefined) {
    zones = zonesWithCapacity(victim.job, candidateIndex);
    candidateIndex.zonesWithCapacity.set(victim.job, zones);
  }
  for (const zone of zones) if (zone !== here) return true;
  return false;
};

/** What a search finds out about each other job once, and which machines have anything to be stopped at all. */
class VictimFinder {
  private readonly reasons = new Map<
    Job,
    { readonly stop: "outranked" | "guarantee" | null; readonly moves: boolean }
  >();
  readonly machines = new Set<Machine>();

  constructor(
    snapshot: SchedulerSnapshot,
    task: Task,
    private readonly floor: CandidateIndex,
  ) {
    for (const job of snapshot.shard.jobs.values()) {
      if (job.placedTasks.size === 0) continue;
      const stop = preemptionReason(snapshot, task, job);
      const moves = isMovable(task, job);
      if (stop === null && !moves) continue;
      this.reasons.set(job, { stop, moves });
      for (const machine of this.placedOn(snapshot, job)) this.machines.add(machine);
    }
  }

  /** Once a round: what is placed meanwhile has not been seen running, and is not stopped. */
  private placedOn({ inspection }: SchedulerSnapshot, job: Job): readonly Machine[] {
    const known = this.floor.machinesByJob.get(job);
    if (known !== undefined) return known;
    inspection.count += job.placedTasks.size;
    const machines = new Set<Machine>();
    for (const { machine } of job.placedTasks) if (machine !== null) machines.add(machine);
    const list = [...machines];
    this.floor.machinesByJob.set(job, list);
    return list;
  }

  /** Moved where that is possible: it costs the least. */
  reason(victim: Task): PreemptionReason | null {
    const known = this.reasons.get(victim.job);
    if (known === undefined || victim.stopRequest !== null || victim.startCommand.kind !== "observed") return null;
    const { guarantees } = this.floor;
    if (known.moves && !guarantees.startedTooOften(victim, 1) && hasCapacityElsewhere(victim, this.floor))
      return "moved";
    if (known.stop === null || guarantees.startedTooOften(victim)) return null;
    return known.stop === "outranked" || guarantees.isSparable(victim) ? known.stop : null;
  }

  tally(): VictimTally {
    return this.floor.guarantees.tally();
  }
}

/** What is lost by stopping the task, as time of its machine's share: its progress, a fetch and a start. */
const preemptionCost = (victim: Task, now: Micros): number => {
  const { checkpointIntervalS, checkpointDurationS, imageGb, demand } = victim.job.spec;
  const ran = victim.runningSince === null ? 0 : now - victim.runningSince;
  const fetch = seconds(imageGb / Math.max(0.01, victim.machine?.type?.fetchGbPerS ?? 1)) * FETCH_AGAIN;
  const progress = checkpointIntervalS > 0 ? Math.min(ran, seconds(checkpointDurationS)) : ran;
  // Each stop before makes it dearer: the same task's work was thrown away already.
  return (progress + fetch + START_COST) * Math.max(1, demand.cpu) * Math.max(1, attemptOf(victim.desired));
};

/** It ends by itself about as soon as another would have started in its place. */
const endsSoon = (victim: Task, now: Micros): boolean => {
  const { shape, estimatedRunS } = victim.job.spec;
  if (shape === "service" || estimatedRunS <= 0 || victim.runningSince === null) return false;
  const left = victim.runningSince + seconds(estimatedRunS) - now;
  return left > -ENDS_SOON && left < ENDS_SOON;
};

/**
 * The most that may be lost for a task that is to get its guarantee, or whose class can wait: what it is itself going
 * to do. To throw away more than is gained leaves the queue longer than before. Without this bound for higher priority
 * 83 starts of four CPUs each ended 1,278 of a guest's small tasks within 20 s.
 */
const maxPreemptionCost = (task: Task): number => {
  const { shape, estimatedRunS, demand } = task.job.spec;
  if (shape === "service") return Number.POSITIVE_INFINITY;
  return Math.max(seconds(estimatedRunS), LEAST_WORTH) * Math.max(1, demand.cpu);
};

interface PreemptionChoice {
  readonly victims: readonly { readonly task: Task; readonly reason: PreemptionReason }[];
  readonly cost: number;
  readonly machine: Machine;
  readonly free: Resources;
}

/** The cheapest set of tasks on this machine whose stop makes room, or null. */
const cheapestVictims = (
  snapshot: SchedulerSnapshot,
  task: Task,
  machine: Machine,
  type: MachineType,
  found: VictimFinder,
): PreemptionChoice | null => {
  const { now, inspection } = snapshot;
  const { demand } = task.job.spec;
  inspection.count += machine.tasks.size;
  const order: { task: Task; reason: PreemptionReason; loss: number }[] = [];
  for (const victim of machine.tasks) {
    const reason = found.reason(victim);
    if (reason === null || (reason === "guarantee" && endsSoon(victim, now))) continue;
    // A move costs no work: the replica goes on elsewhere.
    order.push({ task: victim, reason, loss: reason === "moved" ? 0 : preemptionCost(victim, now) });
  }
  order.sort((a, b) => b.task.job.effectiveRank - a.task.job.effectiveRank || a.loss - b.loss);
  let free = subtractResources(type.capacity, machine.load.used);
  let cost = 0;
  const victims: { task: Task; reason: PreemptionReason }[] = [];
  const spared = found.tally();
  let guarantee = false;
  for (const { task: victim, reason, loss } of order) {
    if (fits(demand, free)) break;
    // Counted together: each alone may leave its team the guarantee, and several of them not.
    if (reason === "guarantee" && !spared.take(victim)) continue;
    guarantee ||= reason === "guarantee";
    victims.push({ task: victim, reason });
    free = addResources(free, victim.job.spec.demand);
    cost += loss;
  }
  if (victims.length === 0 || !fits(demand, free)) return null;
  const pays = cost <= maxPreemptionCost(task);
  // For a higher rank more may be lost than gained, but not before what comes free by itself has had its time.
  if (!pays && (guarantee || now - task.waitingSince < maxQueueTime(task.job.spec, snapshot.settings))) return null;
  return { victims, cost, machine, free };
};

/** Stops the cheapest set of tasks on one machine that makes room for the task, where the rules allow it. */
function* preemptTasks(
  snapshot: SchedulerSnapshot,
  { promised, budget }: PreemptionState,
  task: Task,
  candidateIndex: CandidateIndex,
  counts: Map<string, number>,
): Generator<PreemptAction, boolean> {
  const { now } = snapshot;
  const { spec } = task.job;
  // Looks at every task that may be stopped, so it is not done for all that wait in each round.
  candidateIndex.preemptionSearches += 1;
  const found = new VictimFinder(snapshot, task, candidateIndex);
  let best: PreemptionChoice | null = null;
  for (const machine of found.machines.size === 0 ? [] : candidateIndex.machines) {
    if (!found.machines.has(machine)) continue;
    if (machine.type === null || !allows(spec, machine.typeName, machine.zone, machine.spot)) continue;
    if (!zoneAllowed(spec, counts, machine.zone)) continue;
    const choice = cheapestVictims(snapshot, task, machine, machine.type, found);
    if (choice !== null && (best === null || choice.cost < best.cost)) best = choice;
  }
  yield { kind: "postpone search", task, notBefore: (now + (best === null ? PREEMPT_RETRY : PREEMPT_PAUSE)) as Micros };
  if (best === null) return false;
  const optional = best.victims.filter(({ reason }) => reason !== "outranked").length;
  if (!budget.take(optional)) return false;
  const { machine } = best;
  promised.set(machine, { free: subtractResources(best.free, spec.demand), until: (now + PROMISE) as Micros });
  counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
  const victims = best.victims.map(({ task: victim, reason }): PreemptedTask => {
    return {
      task: victim,
      graceS: checkpointGraceS(victim.job.spec),
      // Without a pause it could be back before the other has come.
      notBefore: (now + (reason === "moved" ? MOVE_PAUSE : PREEMPT_PAUSE)) as Micros,
      reason,
    };
  });
  for (const { task: victim } of victims) candidateIndex.guarantees.taskStopped(victim);
  yield { kind: "preempt", by: task, machine, victims };
  // Their room is spoken for: nothing else of this round is to count on it.
  for (const { candidates } of candidateIndex.pools) {
    const at = candidates.findIndex((candidate) => candidate.machine === machine);
    if (at >= 0) candidates.splice(at, 1);
  }
  return true;
}

/** Room that stopped tasks are about to leave, beyond what they were stopped for. */
function* usePromisedCapacity(
  snapshot: SchedulerSnapshot,
  promised: PromisedCapacity,
  task: Task,
  counts: Map<string, number>,
): Generator<PreemptAction, boolean> {
  const { spec } = task.job;
  for (const [machine, room] of promised) {
    if (!fits(spec.demand, room.free) || !allows(spec, machine.typeName, machine.zone, machine.spot)) continue;
    if (!zoneAllowed(spec, counts, machine.zone)) continue;
    room.free = subtractResources(room.free, spec.demand);
    counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
    yield { kind: "postpone search", task, notBefore: (snapshot.now + PREEMPT_PAUSE) as Micros };
    return true;
  }
  return false;
}

/** For the task that found no room and for the rest of its job: after a wave hundreds wait at once. */
export function* preemptFor(
  snapshot: SchedulerSnapshot,
  state: PreemptionState,
  left: Task,
  candidateIndex: CandidateIndex,
): Generator<PreemptAction> {
  const { now } = snapshot;
  const { promised } = state;
  const counts = zoneCounts(left.job);
  for (const [machine, { until }] of promised) if (until <= now) promised.delete(machine);
  const most = allowedStarts(left.job, now);
  let made = 0;
  for (const task of left.job.waitingTasks) {
    if (candidateIndex.preemptionSearches >= snapshot.maxPreemptionSearches || made >= most) return;
    if (task.earliestStart > now || task.nextPreemptionSearch > now) continue;
    const found =
      (yield* usePromisedCapacity(snapshot, promised, task, counts)) ||
      (yield* preemptTasks(snapshot, state, task, candidateIndex, counts));
    if (!found) return;
    made += 1;
  }
}
