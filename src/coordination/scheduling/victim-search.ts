/** Search for the tasks whose preemption makes capacity for another task: which may be stopped, and the cheapest set. */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { Resources } from "../../protocol/resources.js";
import { seconds } from "../../transport/clock.js";
import { type CandidateIndex, zonesWithCapacity } from "./candidate-index.js";
import { allows, zoneAllowed } from "./eligibility.js";
import type { VictimTally } from "./guarantee-usage.js";
import { addResources, fits, subtractResources } from "./placement/bfgp.js";
import { endsSoon, maxPreemptionCost, preemptionCost } from "./preemption-cost.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { maxQueueTime } from "./start-deadline.js";

/**
 * Work is only preempted for a guarantee once this share of the time that the guarantee has is over: capacity may come
 * free by itself.
 */
const GUARANTEE_WAIT_SHARE = 0.6;
/** The time that a guarantee has where no objective says so. */
const DEFAULT_GUARANTEE_TIME = seconds(10);
/** Attempts beyond the usual bound for what is moved: it loses no work. */
const EXTRA_MOVE_ATTEMPTS = 1;

/** Why a task is preempted: its rank is lower, its team exceeds its guarantee, or it has a place elsewhere. */
export type PreemptionReason = "outranked" | "guarantee" | "moved";

/** A task that may be preempted. */
export interface Victim {
  readonly task: Task;
  readonly reason: PreemptionReason;
  /** What is lost, in the unit of `preemptionCost`. */
  readonly cost: number;
}

/** A set of tasks on one machine whose preemption makes capacity for another task. */
export interface VictimSet {
  readonly victims: readonly Victim[];
  readonly cost: number;
  readonly machine: Machine;
  /** What the machine has free without them. */
  readonly free: Resources;
}

const guaranteeWaitTime = ({ settings }: SchedulerSnapshot): number => {
  const objective = settings.objectives.find(({ kind }) => kind === "guarantee");
  return (objective?.within ?? DEFAULT_GUARANTEE_TIME) * GUARANTEE_WAIT_SHARE;
};

/** May a task of the other job be preempted for this one? The same for all of that job's tasks. */
const preemptionReason = (snapshot: SchedulerSnapshot, task: Task, other: Job): "outranked" | "guarantee" | null => {
  const { job } = task;
  if (other.cancelled) return null;
  // What was boosted so that its class is served at all is not preempted by those whom it went before.
  if (other.effectiveRank > job.effectiveRank) return other.boosted ? null : "outranked";
  // Replicas are not preempted for a guarantee: two teams' services kept driving each other off a scarce zone.
  if (other.spec.shape === "service" || other.spec.team === job.spec.team) return null;
  if (snapshot.now - task.waitingSince < guaranteeWaitTime(snapshot)) return null;
  const allowed = job.withinGuarantee && !other.withinGuarantee && other.effectiveRank >= job.effectiveRank;
  return allowed ? "guarantee" : null;
};

/**
 * A replica that could as well run in another zone, with capacity for it there now, makes way for one of a spread job that
 * cannot: it is moved, which takes seconds, where the other would wait for ever.
 */
const isMovable = (task: Task, other: Job): boolean => {
  if (!task.job.spec.spread || other.spec.shape !== "service" || other === task.job) return false;
  return other.effectiveRank >= task.job.effectiveRank;
};

const hasCapacityElsewhere = (victim: Task, candidateIndex: CandidateIndex): boolean => {
  const ownZone = victim.machine?.zone ?? "";
  let zones = candidateIndex.zonesWithCapacity.get(victim.job);
  if (zones === undefined) {
    zones = zonesWithCapacity(victim.job, candidateIndex);
    candidateIndex.zonesWithCapacity.set(victim.job, zones);
  }
  for (const zone of zones) if (zone !== ownZone) return true;
  return false;
};

/** What a search finds out about each other job once, and which machines have any task that may be preempted. */
class VictimFinder {
  private readonly rules = new Map<
    Job,
    { readonly reason: "outranked" | "guarantee" | null; readonly movable: boolean }
  >();
  readonly machines = new Set<Machine>();

  constructor(
    snapshot: SchedulerSnapshot,
    task: Task,
    private readonly candidateIndex: CandidateIndex,
  ) {
    for (const job of snapshot.shard.jobs.values()) {
      if (job.placedTasks.size === 0) continue;
      const reason = preemptionReason(snapshot, task, job);
      const movable = isMovable(task, job);
      if (reason === null && !movable) continue;
      this.rules.set(job, { reason, movable });
      for (const machine of this.machinesOf(snapshot, job)) this.machines.add(machine);
    }
  }

  /** Determined once a round: what is placed meanwhile has not been seen running, and is not preempted. */
  private machinesOf({ inspection }: SchedulerSnapshot, job: Job): readonly Machine[] {
    const known = this.candidateIndex.machinesByJob.get(job);
    if (known !== undefined) return known;
    inspection.count += job.placedTasks.size;
    const distinct = new Set<Machine>();
    for (const { machine } of job.placedTasks) if (machine !== null) distinct.add(machine);
    const machines = [...distinct];
    this.candidateIndex.machinesByJob.set(job, machines);
    return machines;
  }

  /** Why the task may be preempted; null where it may not. Moved where that is possible: it costs the least. */
  reasonFor(victim: Task): PreemptionReason | null {
    const rule = this.rules.get(victim.job);
    if (rule === undefined || victim.stopRequest !== null || victim.startCommand.kind !== "observed") return null;
    const { guarantees } = this.candidateIndex;
    const movable = rule.movable && !guarantees.startedTooOften(victim, EXTRA_MOVE_ATTEMPTS);
    if (movable && hasCapacityElsewhere(victim, this.candidateIndex)) return "moved";
    if (rule.reason === null || guarantees.startedTooOften(victim)) return null;
    return rule.reason === "outranked" || guarantees.isSparable(victim) ? rule.reason : null;
  }

  tally(): VictimTally {
    return this.candidateIndex.guarantees.tally();
  }
}

/** The machine's tasks that may be preempted, lowest rank and cheapest first. */
const listVictims = ({ now, inspection }: SchedulerSnapshot, machine: Machine, finder: VictimFinder): Victim[] => {
  inspection.count += machine.tasks.size;
  const victims: Victim[] = [];
  for (const task of machine.tasks) {
    const reason = finder.reasonFor(task);
    if (reason === null || (reason === "guarantee" && endsSoon(task, now))) continue;
    // A move costs no work: the replica goes on elsewhere.
    victims.push({ task, reason, cost: reason === "moved" ? 0 : preemptionCost(task, now) });
  }
  return victims.sort((a, b) => b.task.job.effectiveRank - a.task.job.effectiveRank || a.cost - b.cost);
};

/** May so much be lost for the task? */
const isWorthwhile = (snapshot: SchedulerSnapshot, task: Task, cost: number, forGuarantee: boolean): boolean => {
  if (cost <= maxPreemptionCost(task)) return true;
  // For a higher rank more may be lost than gained, but not before what comes free by itself has had its time.
  return !forGuarantee && snapshot.now - task.waitingSince >= maxQueueTime(task.job.spec, snapshot.settings);
};

/** The cheapest set of tasks on this machine whose preemption makes capacity for the task, or null. */
const cheapestVictimsOn = (
  snapshot: SchedulerSnapshot,
  task: Task,
  machine: Machine,
  type: MachineType,
  finder: VictimFinder,
): VictimSet | null => {
  const { demand } = task.job.spec;
  const victims: Victim[] = [];
  const candidates = listVictims(snapshot, machine, finder);
  const tally = finder.tally();
  let free = subtractResources(type.capacity, machine.load.used);
  let cost = 0;
  let forGuarantee = false;
  for (const victim of candidates) {
    if (fits(demand, free)) break;
    // Counted together: each alone may leave its team the guarantee, and several of them not.
    if (victim.reason === "guarantee" && !tally.take(victim.task)) continue;
    forGuarantee ||= victim.reason === "guarantee";
    victims.push(victim);
    free = addResources(free, victim.task.job.spec.demand);
    cost += victim.cost;
  }
  if (victims.length === 0 || !fits(demand, free)) return null;
  return isWorthwhile(snapshot, task, cost, forGuarantee) ? { victims, cost, machine, free } : null;
};

/**
 * The cheapest set of tasks on one machine whose preemption makes capacity for the task; null where there is none.
 * `zoneTaskCounts`: tasks of the task's job by zone. Looks at every task that may be preempted, so it is not done for all
 * that wait in each round.
 */
export const findCheapestVictims = (
  snapshot: SchedulerSnapshot,
  task: Task,
  candidateIndex: CandidateIndex,
  zoneTaskCounts: ReadonlyMap<string, number>,
): VictimSet | null => {
  const { spec } = task.job;
  const finder = new VictimFinder(snapshot, task, candidateIndex);
  if (finder.machines.size === 0) return null;
  let cheapest: VictimSet | null = null;
  for (const machine of candidateIndex.machines) {
    const { type, typeName, zone, spot } = machine;
    if (type === null || !finder.machines.has(machine)) continue;
    if (!allows(spec, typeName, zone, spot) || !zoneAllowed(spec, zoneTaskCounts, zone)) continue;
    const victimSet = cheapestVictimsOn(snapshot, task, machine, type, finder);
    if (victimSet !== null && (cheapest === null || victimSet.cost < cheapest.cost)) cheapest = victimSet;
  }
  return cheapest;
};
