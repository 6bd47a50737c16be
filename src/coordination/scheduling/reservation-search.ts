/**
 * When capacity for a job is expected to become free, and on which machines, by run-time estimates of running tasks.
 */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { jobAllowsMachine, placedTasksByZone, zoneAllowed } from "./eligibility.js";
import { tasksPlacedTogether } from "./job-start.js";
import { addResources, countThatFit, subtractResources } from "./placement/bfgp.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/**
 * The maximum duration of a reservation, and the maximum expected wait for which one is made: beyond it the capacity is
 * worth more to other jobs, and the wait has another remedy.
 */
export const MAX_RESERVATION = seconds(100);
/** A running task is expected to run for at least this much longer, however long past its estimate. */
const MIN_REMAINING = seconds(1);

/** The expectation that a machine has capacity for `count` of a job's tasks from `availableAt` on. */
interface ExpectedCapacity {
  readonly availableAt: Micros;
  readonly count: number;
}

/**
 * When a task is expected to end, by its owner's estimate; null for replicas of services and tasks without an estimate.
 */
const expectedEnd = ({ runningSince, job: { spec } }: Task, now: Micros): Micros | null => {
  if (spec.shape === "service" || spec.estimatedRunS <= 0) return null;
  return Math.max((runningSince ?? now) + seconds(spec.estimatedRunS), now + MIN_REMAINING) as Micros;
};

/** Tasks with their expected ends, soonest first; tasks without an expected end are left out. */
const expectedEnds = (tasks: Iterable<Task>, now: Micros): { readonly end: Micros; readonly task: Task }[] => {
  const ends: { readonly end: Micros; readonly task: Task }[] = [];
  for (const task of tasks) {
    const end = expectedEnd(task, now);
    if (end !== null) ends.push({ end, task });
  }
  return ends.sort((a, b) => a.end - b.end);
};

/**
 * When the machine is expected to have capacity for one task of the job, as its own tasks end. With `untilAllEnded`:
 * when all its tasks with an expected end have ended, and how many tasks of the job fit then. Null if none will fit.
 */
const capacityAvailableAt = (
  machine: Machine,
  spec: JobSpec,
  untilAllEnded: boolean,
  now: Micros,
): ExpectedCapacity | null => {
  const { type } = machine;
  if (type === null) return null;
  let free = subtractResources(type.capacity, machine.load.used);
  if (!untilAllEnded && countThatFit(spec.demand, free) > 0) return { availableAt: now, count: 1 };
  let availableAt = now;
  for (const { end, task } of expectedEnds(machine.tasks, now)) {
    free = addResources(free, task.job.spec.demand);
    availableAt = end;
    if (!untilAllEnded && countThatFit(spec.demand, free) > 0) return { availableAt, count: 1 };
  }
  const count = countThatFit(spec.demand, free);
  return count === 0 ? null : { availableAt, count };
};

function* placedTasksOfTeam({ shard, inspection }: SchedulerSnapshot, team: string): Generator<Task> {
  for (const { spec, placedTasks } of shard.jobs.values()) {
    if (spec.team !== team) continue;
    inspection.count += placedTasks.size;
    yield* placedTasks;
  }
}

/**
 * When enough of its team's limit is expected to be free for the job to start; null if not within `MAX_RESERVATION`.
 */
export const limitAvailableAt = (snapshot: SchedulerSnapshot, { spec }: Job): Micros | null => {
  const { shard, now, settings } = snapshot;
  const limit = settings.teams.get(spec.team)?.limit;
  if (limit === undefined) return now;
  const ends = expectedEnds(placedTasksOfTeam(snapshot, spec.team), now);
  const used = shard.teamUsage(spec.team);
  const tasks = tasksPlacedTogether(spec);
  let cpu = used.cpu + spec.demand.cpu * tasks;
  let gpu = used.gpu + spec.demand.gpu * tasks;
  const withinLimit = (): boolean =>
    (limit.cpu === null || cpu <= limit.cpu) && (limit.gpu === null || gpu <= limit.gpu);
  let availableAt = now;
  for (const { end, task } of ends) {
    if (withinLimit()) break;
    availableAt = end;
    cpu -= task.job.spec.demand.cpu;
    gpu -= task.job.spec.demand.gpu;
  }
  return withinLimit() && availableAt - now <= MAX_RESERVATION ? availableAt : null;
};

/** A machine with its expected capacity. */
interface MachineCapacity extends ExpectedCapacity {
  readonly machine: Machine;
}

/** Machines that the job may use and that are expected to have capacity for it: soonest, then largest, first. */
const machinesByAvailability = (
  snapshot: SchedulerSnapshot,
  job: Job,
  machines: readonly Machine[],
): MachineCapacity[] => {
  const { spec } = job;
  const zoneTaskCounts = placedTasksByZone(job);
  const untilAllEnded = spec.shape === "gang";
  const available = machines.flatMap((machine) => {
    if (!jobAllowsMachine(spec, machine.typeName, machine.zone, machine.spot)) return [];
    if (!zoneAllowed(spec, zoneTaskCounts, machine.zone)) return [];
    const capacity = capacityAvailableAt(machine, spec, untilAllEnded, snapshot.now);
    return capacity === null ? [] : [{ machine, ...capacity }];
  });
  snapshot.inspection.count += machines.length;
  return available.sort((a, b) => a.availableAt - b.availableAt || b.count - a.count);
};

/**
 * The first machines of `available`, in `zone` unless null, that together have capacity for so many tasks; null if all
 * of them do not suffice.
 */
const chooseMachines = (
  available: readonly MachineCapacity[],
  zone: string | null,
  tasks: number,
  now: Micros,
): { readonly machines: Map<Machine, Micros>; readonly completeAt: Micros } | null => {
  const machines = new Map<Machine, Micros>();
  let remaining = tasks;
  let completeAt = now;
  for (const { machine, availableAt, count } of available) {
    if (zone !== null && machine.zone !== zone) continue;
    machines.set(machine, availableAt);
    completeAt = Math.max(completeAt, availableAt) as Micros;
    remaining -= count;
    if (remaining <= 0) return { machines, completeAt };
  }
  return null;
};

/**
 * The machines that are expected to have capacity for the job soonest, each with the expected time; null if not within
 * `MAX_RESERVATION`.
 */
export const earliestMachines = (
  snapshot: SchedulerSnapshot,
  job: Job,
  machines: readonly Machine[],
): Map<Machine, Micros> | null => {
  const { spec } = job;
  const { now } = snapshot;
  const available = machinesByAvailability(snapshot, job, machines);
  const zones = spec.singleZone ? new Set(available.map(({ machine }) => machine.zone)) : [null];
  let earliest: ReturnType<typeof chooseMachines> = null;
  for (const zone of zones) {
    const chosen = chooseMachines(available, zone, tasksPlacedTogether(spec), now);
    if (chosen !== null && (earliest === null || chosen.completeAt < earliest.completeAt)) earliest = chosen;
  }
  return earliest === null || earliest.completeAt - now > MAX_RESERVATION ? null : earliest.machines;
};
