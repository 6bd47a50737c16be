/** Search for the cheapest set of tasks that may be preempted to make capacity for another task. */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { Resources } from "../../protocol/resources.js";
import { seconds } from "../../transport/clock.js";
import { type CandidateIndex, zonesWithCapacity } from "./candidate-index.js";
import { jobAllowsMachine, zoneAllowed } from "./eligibility.js";
import type { VictimTally } from "./guarantee-usage.js";
import { addResources, fits, subtractResources } from "./placement/bfgp.js";
import { endsSoon, maxPreemptionCost, preemptionCost } from "./preemption-cost.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { maxQueueTime } from "./start-deadline.js";

/**
 * Tasks are preempted for a guarantee only once the waiting task has waited this share of the guarantee objective,
 * since capacity may become free by itself.
 */
const GUARANTEE_WAIT_SHARE = 0.6;
/** The time within which a guarantee is to be met if no objective sets it. */
const DEFAULT_GUARANTEE_OBJECTIVE = seconds(10);
/** Attempts allowed beyond `MAX_PREEMPTION_ATTEMPTS` for moved replicas, which lose no work. */
const EXTRA_MOVE_ATTEMPTS = 1;

/**
 * Why a task is preempted: its rank is lower, another team's guarantee needs its capacity, or it can run in another
 * zone.
 */
export type PreemptionReason = "outranked" | "guarantee" | "moved";

/** A task that may be preempted. */
export interface Victim {
  readonly task: Task;
  readonly reason: PreemptionReason;
  /** The work lost, in the unit of `preemptionCost`. */
  readonly cost: number;
}

/** A set of tasks on one machine whose preemption makes capacity for another task. */
export interface VictimSet {
  readonly victims: readonly Victim[];
  readonly cost: number;
  readonly machine: Machine;
  /** The machine's free capacity without the victims. */
  readonly free: Resources;
}

const guaranteeWaitTime = ({ settings }: SchedulerSnapshot): number => {
  const objective = settings.objectives.find(({ kind }) => kind === "guarantee");
  return (objective?.within ?? DEFAULT_GUARANTEE_OBJECTIVE) * GUARANTEE_WAIT_SHARE;
};

/** Why tasks of the other job may be preempted for this task; null if they may not. The same for all of its tasks. */
const preemptionReason = (snapshot: SchedulerSnapshot, task: Task, other: Job): "outranked" | "guarantee" | null => {
  const { job } = task;
  if (other.cancelled) return null;
  // Boosted jobs are not preempted by the higher ranks before which they were placed, or the boost would be undone.
  if (other.effectiveRank > job.effectiveRank) return other.boosted ? null : "outranked";
  // Replicas are not preempted for a guarantee: two teams' services kept preempting each other in a scarce zone.
  if (other.spec.shape === "service" || other.spec.team === job.spec.team) return null;
  if (snapshot.now - task.waitingSince < guaranteeWaitTime(snapshot)) return null;
  const allowed = job.withinGuarantee && !other.withinGuarantee && other.effectiveRank >= job.effectiveRank;
  return allowed ? "guarantee" : null;
};

/**
 * Whether replicas of the other job may be moved for this task. A replica with capacity in another zone makes way for a
 * task of a spread job that has none elsewhere: a move takes seconds, while that task would wait for ever.
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

/** The rules that hold for each other job in one search, and the machines with any task that may be preempted. */
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

  /** Determined once a round: tasks placed later in the round are not known to run, and so are not preempted. */
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

  /** Why the task may be preempted; null if it may not. A move is preferred, since it costs least. */
  reasonFor(victim: Task): PreemptionReason | null {
    const rule = this.rules.get(victim.job);
    if (rule === undefined || victim.stopRequest !== null || victim.startCommand.kind !== "observed") return null;
    const { guarantees } = this.candidateIndex;
    const movable = rule.movable && !guarantees.hasTooManyAttempts(victim, EXTRA_MOVE_ATTEMPTS);
    if (movable && hasCapacityElsewhere(victim, this.candidateIndex)) return "moved";
    if (rule.reason === null || guarantees.hasTooManyAttempts(victim)) return null;
    return rule.reason === "outranked" || guarantees.isPreemptibleForGuarantee(victim) ? rule.reason : null;
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
    // A move loses no work: the replica continues in another zone.
    victims.push({ task, reason, cost: reason === "moved" ? 0 : preemptionCost(task, now) });
  }
  return victims.sort((a, b) => b.task.job.effectiveRank - a.task.job.effectiveRank || a.cost - b.cost);
};

/** Whether preemption at this cost is justified for the task. */
const isWorthwhile = (snapshot: SchedulerSnapshot, task: Task, cost: number, forGuarantee: boolean): boolean => {
  if (cost <= maxPreemptionCost(task)) return true;
  // For a higher rank more work may be lost than gained, but only after a wait for capacity to become free by itself.
  return !forGuarantee && snapshot.now - task.waitingSince >= maxQueueTime(task.job.spec, snapshot.settings);
};

/**
 * The set of tasks on this machine whose preemption makes capacity for the task, lowest rank and cheapest first; null
 * if there is none, or it costs too much.
 */
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
    // Victims are counted together: a team may keep its guarantee without any one of them, but not without several.
    if (victim.reason === "guarantee" && !tally.tryAdd(victim.task)) continue;
    forGuarantee ||= victim.reason === "guarantee";
    victims.push(victim);
    free = addResources(free, victim.task.job.spec.demand);
    cost += victim.cost;
  }
  if (victims.length === 0 || !fits(demand, free)) return null;
  return isWorthwhile(snapshot, task, cost, forGuarantee) ? { victims, cost, machine, free } : null;
};

/**
 * The cheapest set of tasks on one machine whose preemption makes capacity for the task; null if there is none.
 * `zoneTaskCounts`: placed tasks of the task's job by zone. It inspects every task that may be preempted, so a round
 * limits the number of searches.
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
    if (!jobAllowsMachine(spec, typeName, zone, spot) || !zoneAllowed(spec, zoneTaskCounts, zone)) continue;
    const victimSet = cheapestVictimsOn(snapshot, task, machine, type, finder);
    if (victimSet !== null && (cheapest === null || victimSet.cost < cheapest.cost)) cheapest = victimSet;
  }
  return cheapest;
};
