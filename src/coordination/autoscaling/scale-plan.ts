/**
 * The scale plan: which machines to provision and which to return to the cloud.
 * @module
 */
import type { Job } from "../../cluster/job.js";
import { placedTasksByZone } from "../scheduling/eligibility.js";
import { waitingJobs } from "../scheduling/job-order.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import { allowedStarts } from "../workers/failure-attribution.js";
import { BinPacker } from "./bin-packing.js";
import { type CapacityBin, existingBins, type ScaleOutReason } from "./capacity-bins.js";
import { type CloudOffers, type MachineOffer, offerKey } from "./cloud-offers.js";
import { headroomDemand } from "./demand-history.js";
import { EndingCapacity } from "./ending-tasks.js";
import { chooseScaleIn, type ScaleInChoice } from "./scale-in.js";

/** Number of jobs between two removals of full bins from the open bins. */
const SWEEP_INTERVAL_JOBS = 16;
/** Number of tasks assumed for a headroom job, for spreading its tasks over zones. */
const HEADROOM_JOB_TASKS = 1_000;

/** Machines of one offer that are to be provisioned. */
export interface ScaleOutRequest {
  readonly offer: MachineOffer;
  readonly count: number;
  readonly reasons: ReadonlySet<ScaleOutReason>;
}

/** Machines to be provisioned, and machines that may be returned to the cloud. */
export interface ScalePlan {
  readonly scaleOut: readonly ScaleOutRequest[];
  readonly scaleIn: readonly ScaleInChoice[];
}

/** The number of the job's unplaced tasks that may be started, given its failures and its team's CPU limit. */
const startableTasks = (job: Job, { shard, settings, now }: SchedulerSnapshot): number => {
  const { spec, waitingTasks } = job;
  const unplaced = waitingTasks.size + shard.creatableTasks(job);
  // A job that fails wherever it is started is not given machines for all its tasks: those machines would stay empty
  // until its user noticed the failures.
  const allowed = Math.min(unplaced, allowedStarts(job, now));
  const limit = settings.teams.get(spec.team)?.limit.cpu ?? null;
  if (limit === null || spec.demand.cpu <= 0) return allowed;
  const withinLimit = Math.floor((limit - shard.teamUsage(spec.team).cpu) / spec.demand.cpu);
  return Math.min(allowed, Math.max(0, withinLimit));
};

const packWaiting = (snapshot: SchedulerSnapshot, packer: BinPacker): void => {
  const endingCapacity = new EndingCapacity(snapshot);
  // With thousands of waiting jobs and machines, iterating over full bins for each job takes most of the planning time.
  let openBins = [...packer.bins];
  let packedJobs = 0;
  const jobs = waitingJobs(snapshot);
  let minCpu = Number.POSITIVE_INFINITY;
  for (const { spec } of jobs) minCpu = Math.min(minCpu, spec.demand.cpu);
  for (const job of jobs) {
    packedJobs += 1;
    if (packedJobs % SWEEP_INTERVAL_JOBS === 0) openBins = openBins.filter(({ free }) => free.cpu >= minCpu);
    const { spec } = job;
    const startable = startableTasks(job, snapshot);
    const count = startable - endingCapacity.claim(spec, startable);
    packer.pack({ reason: "waiting", spec, count, zoneCounts: placedTasksByZone(job), openBins });
  }
};

/** Packs replacements for unreachable replicas; they start elsewhere as soon as the old workers' leases expire. */
const packUnreachableZones = (
  snapshot: SchedulerSnapshot,
  unreachableZones: ReadonlySet<string>,
  packer: BinPacker,
): void => {
  const unreachableReplicas = new Map<Job, number>();
  for (const { zone, tasks } of snapshot.shard.machines.values()) {
    if (!unreachableZones.has(zone)) continue;
    for (const { job } of tasks) {
      if (job.spec.shape === "service") unreachableReplicas.set(job, (unreachableReplicas.get(job) ?? 0) + 1);
    }
  }
  for (const [job, count] of unreachableReplicas) {
    const counts = placedTasksByZone(job);
    for (const zone of unreachableZones) counts.delete(zone);
    packer.pack({ reason: "unreachable zone", spec: job.spec, count, zoneCounts: counts });
  }
};

/** Packs headroom for job classes whose start objective is shorter than the time a machine needs to boot. */
const packHeadroom = (snapshot: SchedulerSnapshot, offers: CloudOffers, packer: BinPacker): void => {
  for (const demand of headroomDemand(snapshot, offers.demandHistory)) {
    const spec = { ...demand.spec, singleZone: false, tasks: HEADROOM_JOB_TASKS };
    packer.pack({ reason: "headroom", spec, count: demand.count, zoneCounts: new Map() });
  }
};

const groupByOffer = (bins: readonly CapacityBin[]): readonly ScaleOutRequest[] => {
  const groups = new Map<string, { offer: MachineOffer; count: number; reasons: Set<ScaleOutReason> }>();
  for (const { type, zone, spot, reason } of bins) {
    const offer = { type, zone, spot };
    const group = groups.get(offerKey(offer)) ?? { offer, count: 0, reasons: new Set() };
    group.count += 1;
    if (reason !== null) group.reasons.add(reason);
    groups.set(offerKey(offer), group);
  }
  return [...groups.values()];
};

/** Packs waiting and expected tasks into machines that exist or are already requested, and into new ones as needed. */
export const planScaling = (snapshot: SchedulerSnapshot, offers: CloudOffers): ScalePlan => {
  const packer = new BinPacker(snapshot, offers, existingBins(snapshot, offers));
  const existingCount = packer.bins.length;
  packWaiting(snapshot, packer);
  if (offers.unreachableZones.size > 0) packUnreachableZones(snapshot, offers.unreachableZones, packer);
  packHeadroom(snapshot, offers, packer);
  return {
    scaleOut: groupByOffer(packer.bins.slice(existingCount)),
    scaleIn: chooseScaleIn(snapshot, packer.bins),
  };
};
