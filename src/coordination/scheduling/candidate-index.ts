import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { Resources } from "../../protocol/resources.js";
import type { Micros } from "../../transport/clock.js";
import { mayBackfill, type Reservation } from "./capacity-reservation.js";
import { allows, readyMachines, unready, zoneAllowed, zoneCounts } from "./eligibility.js";
import type { GuaranteeUsage } from "./guarantee-usage.js";
import { waitingJobs } from "./job-order.js";
import { countThatFit, fits, type Images, subtractResources } from "./placement/bfgp.js";
import type { RankedServer } from "./placement/ranking.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

export interface Candidate extends RankedServer {
  readonly machine: Machine;
}

/** The paper's optimism: an image on its way counts as being there. */
class MachineImages implements Images {
  private assigned: string | null = null;

  constructor(private readonly machine: Machine) {}

  has(image: string): boolean {
    return (
      this.assigned === image || this.machine.load.cachedImages.has(image) || this.machine.load.imagesInUse.has(image)
    );
  }

  add(image: string): void {
    this.assigned = image;
  }
}

const asCandidate = (machine: Machine, type: MachineType, order: number): Candidate => ({
  name: machine.name,
  order,
  capacity: type.capacity,
  free: subtractResources(type.capacity, machine.load.used),
  busy: machine.tasks.size > 0,
  images: new MachineImages(machine),
  fetchGbPerS: type.fetchGbPerS,
  machine,
});

export const copyCandidate = (candidate: Candidate): Candidate => ({
  ...candidate,
  images: new MachineImages(candidate.machine),
});

/** Machines of one type, zone and kind: whether a job may use them is the same for all. */
export interface MachinePool {
  readonly typeName: string;
  readonly zone: string;
  readonly spot: boolean;
  /** All that can take tasks, and of those the ones with replicas, with or without room. */
  total: number;
  withReplicas: number;
  /** Those with room for the smallest of what is waiting. */
  readonly candidates: Candidate[];
}

/** What a round has to work with. */
export interface CandidateIndex {
  readonly pools: readonly MachinePool[];
  readonly machines: readonly Machine[];
  readonly broadZones: ReadonlySet<string>;
  /** Demands for which nothing was left in this round, by what the jobs may use. */
  readonly exhaustedDemands: Map<string, Resources[]>;
  /** Zones with room for a job's task now. */
  readonly zonesWithCapacity: Map<Job, ReadonlySet<string>>;
  /** Machines of the tasks that a job had placed when it was first looked at for something to stop. */
  readonly machinesByJob: Map<Job, readonly Machine[]>;
  readonly guarantees: GuaranteeUsage;
  /** Room that is kept for one job. */
  reservation: Reservation | null;
  preemptionSearches: number;
  readonly recordBudget: Record<"urgent" | "normal", number>;
}

/** Machines that can take tasks now, with what is left on them. */
export const listCandidates = (snapshot: SchedulerSnapshot): Candidate[] => {
  const list: Candidate[] = [];
  for (const [machine, type] of readyMachines(snapshot)) list.push(asCandidate(machine, type, list.length));
  return list;
};

/**
 * Zones where the cloud offers most types. What can go anywhere goes there first: a zone with little room is
 * the only one left for the second half of a job that has to be spread.
 */
const broadZones = ({ shard }: SchedulerSnapshot): ReadonlySet<string> => {
  const count = new Map<string, number>();
  for (const type of shard.machineTypes().values()) {
    for (const zone of type.zones) count.set(zone, (count.get(zone) ?? 0) + 1);
  }
  const most = Math.max(0, ...count.values());
  return new Set([...count].filter(([, types]) => types === most).map(([zone]) => zone));
};

/** The machines as a round finds them, in pools, for the jobs that wait. */
export const buildCandidateIndex = (
  snapshot: SchedulerSnapshot,
  jobs: readonly Job[],
  guarantees: GuaranteeUsage,
  reservation: Reservation | null,
): CandidateIndex => {
  let least: Resources = jobs[0]?.spec.demand ?? { cpu: 0, gpu: 0, ram: 0 };
  for (const { spec } of jobs) {
    const { cpu, gpu, ram } = spec.demand;
    least = { cpu: Math.min(least.cpu, cpu), gpu: Math.min(least.gpu, gpu), ram: Math.min(least.ram, ram) };
  }
  const pools: MachinePool[] = [];
  const machines: Machine[] = [];
  // Written out, since it is walked for every machine in every round: no generator, no key made up for each.
  for (const machine of snapshot.shard.machines.values()) {
    const { type } = machine;
    if (type === null || unready(machine, snapshot) !== null) continue;
    const { typeName, zone, spot } = machine;
    let pool = pools.find((known) => known.zone === zone && known.spot === spot && known.typeName === typeName);
    if (pool === undefined) {
      pool = { typeName, zone, spot, total: 0, withReplicas: 0, candidates: [] };
      pools.push(pool);
    }
    pool.total += 1;
    if (machine.load.replicas > 0) pool.withReplicas += 1;
    const {
      load: { used: usedResources },
    } = machine;
    const { capacity } = type;
    const room =
      least.cpu <= capacity.cpu - usedResources.cpu &&
      least.gpu <= capacity.gpu - usedResources.gpu &&
      least.ram <= capacity.ram - usedResources.ram;
    if (room) pool.candidates.push(asCandidate(machine, type, machines.length));
    machines.push(machine);
  }
  snapshot.inspection.count += machines.length;
  return {
    pools,
    machines,
    broadZones: broadZones(snapshot),
    exhaustedDemands: new Map(),
    zonesWithCapacity: new Map(),
    machinesByJob: new Map(),
    guarantees,
    reservation,
    preemptionSearches: 0,
    recordBudget: { ...snapshot.recordBudget },
  };
};

/** The zone that holds most of the job's tasks now, for jobs that stay in one. */
export const zoneWithMostCapacity = (job: Job, candidateIndex: CandidateIndex): string | null => {
  const { spec } = job;
  const room = new Map<string, number>();
  for (const pool of candidateIndex.pools) {
    if (!allows(spec, pool.typeName, pool.zone, pool.spot)) continue;
    for (const candidate of pool.candidates) {
      const count = Math.min(spec.tasks, countThatFit(spec.demand, candidate.free));
      room.set(pool.zone, (room.get(pool.zone) ?? 0) + count);
    }
  }
  const best = [...room].sort((a, b) => b[1] - a[1])[0];
  return best === undefined || best[1] === 0 ? null : best[0];
};

/** Zones with room for one more of the job's tasks now. */
export const zonesWithCapacity = (job: Job, candidateIndex: CandidateIndex): ReadonlySet<string> => {
  const { spec } = job;
  const counts = zoneCounts(job);
  const zones = new Set<string>();
  for (const { typeName, zone, spot, candidates } of candidateIndex.pools) {
    if (zones.has(zone) || !allows(spec, typeName, zone, spot) || !zoneAllowed(spec, counts, zone)) continue;
    if (candidates.some(({ free }) => fits(spec.demand, free))) zones.add(zone);
  }
  return zones;
};

/**
 * What a job may use, for those to which all zones of it are open. Of machines whose room is kept for another job it is how
 * many the job may fill: whoever may fill more of them may find room where others found none. Without that the very job
 * for which room was kept took it for full, since another had looked before it, and the room stood empty.
 */
const constraintKey = (job: Job, { reservation }: CandidateIndex, now: Micros): string | null => {
  const { spec } = job;
  if (spec.spread || spec.singleZone) return null;
  let kept = 0;
  for (const machine of reservation?.machines.keys() ?? []) if (mayBackfill(reservation, job, machine, now)) kept += 1;
  return `${spec.types?.join(",") ?? "*"}/${spec.zone ?? "*"}/${spec.spot}/${kept}`;
};

/** Room only shrinks within a round: what found none stands for all that want as much or more. */
export const isKnownExhausted = (job: Job, candidateIndex: CandidateIndex, now: Micros): boolean => {
  const key = constraintKey(job, candidateIndex, now);
  if (key === null) return false;
  return candidateIndex.exhaustedDemands.get(key)?.some((demand) => fits(demand, job.spec.demand)) ?? false;
};

export const markExhausted = (job: Job, candidateIndex: CandidateIndex, now: Micros): void => {
  const { spec } = job;
  const key = constraintKey(job, candidateIndex, now);
  if (key === null) return;
  const demands = candidateIndex.exhaustedDemands.get(key) ?? [];
  demands.push(spec.demand);
  candidateIndex.exhaustedDemands.set(key, demands);
};

/** For the log: what each pool holds, and what waits. */
export const summarizePools = (
  snapshot: SchedulerSnapshot,
): { readonly pools: Record<string, string>; readonly waiting: Record<string, number> } => {
  const pools = new Map<string, { machines: number; free: number; replicas: number; others: number }>();
  for (const [machine, type] of readyMachines(snapshot)) {
    const key = `${machine.typeName}/${machine.zone}/${machine.spot ? "spot" : "ordinary"}`;
    const pool = pools.get(key) ?? { machines: 0, free: 0, replicas: 0, others: 0 };
    pools.set(key, pool);
    pool.machines += 1;
    pool.free += (type.capacity.cpu - machine.load.used.cpu) / 1_000;
    pool.replicas += machine.load.replicas;
    pool.others += machine.tasks.size - machine.load.replicas;
  }
  const waiting: Record<string, number> = {};
  for (const job of waitingJobs(snapshot)) {
    waiting[job.spec.jobClass] = (waiting[job.spec.jobClass] ?? 0) + job.waitingTasks.size;
  }
  const text = [...pools].map(([key, { machines, free, replicas, others }]) => [
    key,
    `${machines} machines, ${Math.round(free)} CPUs free, ${replicas} replicas, ${others} other tasks`,
  ]);
  return { pools: Object.fromEntries(text), waiting };
};
