/**
 * Consolidation: chooses a machine whose service replicas all fit on other machines in use.
 * @module
 */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import { type Candidate, listCandidates } from "../scheduling/candidate-index.js";
import { jobAllowsMachine, placedTasksByZone, zoneAllowed } from "../scheduling/eligibility.js";
import { fits, subtractResources } from "../scheduling/placement/bfgp.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import { type DemandHistory, headroomDemand } from "./demand-history.js";
import { MIN_CHARGED_TIME } from "./scale-in.js";

/** The maximum number of machines examined in one search. */
const MAX_MACHINES_TRIED = 4;
const MAX_TASKS_MOVED = 10;

const tasksFitElsewhere = (
  snapshot: SchedulerSnapshot,
  demandHistory: DemandHistory,
  candidate: Candidate,
  onDemandCandidates: readonly Candidate[],
): boolean => {
  const targets = onDemandCandidates
    .filter((other) => other !== candidate && other.busy)
    .map((other) => ({ ...other }));
  const zones = new Map<Job, Map<string, number>>();
  for (const task of candidate.machine.tasks) {
    const { spec } = task.job;
    // Shared by the job's tasks: two replicas must not both be assigned the last place that is allowed in a zone.
    const counts = zones.get(task.job) ?? placedTasksByZone(task.job);
    zones.set(task.job, counts);
    counts.set(candidate.machine.zone, (counts.get(candidate.machine.zone) ?? 1) - 1);
    const target = targets.find(
      ({ machine, free, images }) =>
        fits(spec.demand, free) &&
        images.has(spec.image) &&
        !machine.lifecycle.recentFailures.has(spec.id) &&
        jobAllowsMachine(spec, machine.typeName, machine.zone, machine.spot) &&
        zoneAllowed(spec, counts, machine.zone),
    );
    if (target === undefined) return false;
    target.free = subtractResources(target.free, spec.demand);
    counts.set(target.machine.zone, (counts.get(target.machine.zone) ?? 0) + 1);
  }
  // The headroom for the next service must remain afterwards; otherwise a new machine would be provisioned at once.
  return headroomDemand(snapshot, demandHistory)
    .filter(({ spec }) => !spec.spot)
    .every(({ spec, count }) => {
      let placeable = 0;
      for (const { free } of targets) placeable += Math.floor(free.cpu / Math.max(1, spec.demand.cpu));
      return placeable >= 2 * count;
    });
};

/**
 * Chooses the next machine to drain; null: none is suitable. Service replicas outlive the batch work that filled their
 * machines. An on-demand machine with few replicas is drained, one machine at a time, once each replica fits on another
 * machine that already has its image.
 */
export const chooseMachineToConsolidate = (
  snapshot: SchedulerSnapshot,
  demandHistory: DemandHistory,
): Machine | null => {
  const onDemandCandidates = listCandidates(snapshot).filter(({ machine }) => !machine.spot);
  const taskCount = ({ machine }: Candidate): number => machine.tasks.size;
  const movable = onDemandCandidates
    .filter(
      (candidate) =>
        taskCount(candidate) > 0 &&
        taskCount(candidate) <= MAX_TASKS_MOVED &&
        snapshot.now - candidate.machine.lifecycle.provisionedAt > MIN_CHARGED_TIME,
    )
    .filter(({ machine }) =>
      [...machine.tasks].every((task) => task.state === "running" && task.job.spec.shape === "service"),
    )
    .sort((a, b) => taskCount(a) - taskCount(b));
  for (const onDemandCandidate of movable.slice(0, MAX_MACHINES_TRIED)) {
    if (tasksFitElsewhere(snapshot, demandHistory, onDemandCandidate, onDemandCandidates))
      return onDemandCandidate.machine;
  }
  return null;
};
