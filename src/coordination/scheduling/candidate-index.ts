/**
 * Index of the machines that can take tasks in one round, by pool. It is changed as tasks are placed, and remembers for
 * which demands no capacity was found, so that no job searches a second time for what another did not find.
 */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { Resources } from "../../protocol/resources.js";
import type { Micros } from "../../transport/clock.js";
import { mayBackfill, type Reservation } from "./capacity-reservation.js";
import { allows, isReady, readyMachines, zoneAllowed, zoneCounts } from "./eligibility.js";
import type { GuaranteeUsage } from "./guarantee-usage.js";
import { countThatFit, fits, type Images, subtractResources } from "./placement/bfgp.js";
import type { RankedServer } from "./placement/ranking.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** A machine that can take tasks, with what is left of it in this round. */
export interface Candidate extends RankedServer {
  readonly machine: Machine;
}

/** Images of a machine; as in the paper, an image that is being fetched counts as being there. */
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

/** A copy on which placement may be tried without effect on the original. */
export const copyCandidate = (candidate: Candidate): Candidate => ({
  ...candidate,
  images: new MachineImages(candidate.machine),
});

/** Machines of one type, zone and kind: whether a job may use them is the same for all. */
export interface MachinePool {
  readonly typeName: string;
  readonly zone: string;
  readonly spot: boolean;
  /** All that can take tasks, and of those the ones with replicas, with or without free capacity. */
  total: number;
  withReplicas: number;
  /** Those with capacity for the smallest of what is waiting. */
  readonly candidates: Candidate[];
}

/** The machines, limits and findings that the stages of one round share. */
export interface CandidateIndex {
  readonly pools: readonly MachinePool[];
  readonly machines: readonly Machine[];
  readonly broadZones: ReadonlySet<string>;
  /** Demands for which nothing was left in this round, by what the jobs may use. */
  readonly exhaustedDemands: Map<string, Resources[]>;
  /** Zones with capacity for a job's task, as found in this round. */
  readonly zonesWithCapacity: Map<Job, ReadonlySet<string>>;
  /** Machines of the tasks that a job had placed when it was first searched for victims. */
  readonly machinesByJob: Map<Job, readonly Machine[]>;
  readonly guarantees: GuaranteeUsage;
  /** Capacity that is reserved for one job. */
  reservation: Reservation | null;
  /** Searches for victims made in this round. */
  preemptionSearches: number;
  /** Ranges whose placements may yet come to wait for their write, for urgent jobs and for the others. */
  readonly recordBudget: Record<"urgent" | "normal", number>;
}

/** Machines that can take tasks now, with what is left on them. */
export const listCandidates = (snapshot: SchedulerSnapshot): Candidate[] => {
  const list: Candidate[] = [];
  for (const machine of readyMachines(snapshot)) list.push(asCandidate(machine, machine.type, list.length));
  return list;
};

/**
 * Zones where the cloud offers most types. What can go anywhere goes there first: a zone with little capacity is
 * the only one left for the second half of a job that has to be spread.
 */
const findBroadZones = ({ shard }: SchedulerSnapshot): ReadonlySet<string> => {
  const typesByZone = new Map<string, number>();
  for (const type of shard.machineTypes().values()) {
    for (const zone of type.zones) typesByZone.set(zone, (typesByZone.get(zone) ?? 0) + 1);
  }
  const maxTypes = Math.max(0, ...typesByZone.values());
  return new Set([...typesByZone].filter(([, types]) => types === maxTypes).map(([zone]) => zone));
};

/** The least of each resource that a task of the jobs demands. */
const smallestDemand = (jobs: readonly Job[]): Resources => {
  let smallest: Resources = jobs[0]?.spec.demand ?? { cpu: 0, gpu: 0, ram: 0 };
  for (const { spec } of jobs) {
    const { cpu, gpu, ram } = spec.demand;
    smallest = {
      cpu: Math.min(smallest.cpu, cpu),
      gpu: Math.min(smallest.gpu, gpu),
      ram: Math.min(smallest.ram, ram),
    };
  }
  return smallest;
};

/** The machine's pool among these, added where it is not there yet. */
const findOrAddPool = (pools: MachinePool[], { typeName, zone, spot }: Machine): MachinePool => {
  for (const known of pools)
    if (known.zone === zone && known.spot === spot && known.typeName === typeName) return known;
  const pool: MachinePool = { typeName, zone, spot, total: 0, withReplicas: 0, candidates: [] };
  pools.push(pool);
  return pool;
};

/** Indexes the ready machines for the jobs that wait, as a round finds them. */
export const buildCandidateIndex = (
  snapshot: SchedulerSnapshot,
  jobs: readonly Job[],
  guarantees: GuaranteeUsage,
  reservation: Reservation | null,
): CandidateIndex => {
  const smallest = smallestDemand(jobs);
  const pools: MachinePool[] = [];
  const machines: Machine[] = [];
  // Written out, since it is walked for every machine in every round: no generator, no key made up for each.
  for (const machine of snapshot.shard.machines.values()) {
    if (!isReady(machine, snapshot)) continue;
    const { type } = machine;
    const pool = findOrAddPool(pools, machine);
    pool.total += 1;
    if (machine.load.replicas > 0) pool.withReplicas += 1;
    const { used } = machine.load;
    const { capacity } = type;
    const hasCapacity =
      smallest.cpu <= capacity.cpu - used.cpu &&
      smallest.gpu <= capacity.gpu - used.gpu &&
      smallest.ram <= capacity.ram - used.ram;
    if (hasCapacity) pool.candidates.push(asCandidate(machine, type, machines.length));
    machines.push(machine);
  }
  snapshot.inspection.count += machines.length;
  return {
    pools,
    machines,
    broadZones: findBroadZones(snapshot),
    exhaustedDemands: new Map(),
    zonesWithCapacity: new Map(),
    machinesByJob: new Map(),
    guarantees,
    reservation,
    preemptionSearches: 0,
    recordBudget: { ...snapshot.recordBudget },
  };
};

/** The zone with capacity for most of the job's tasks now, for jobs that stay in one; null where none has any. */
export const zoneWithMostCapacity = (job: Job, candidateIndex: CandidateIndex): string | null => {
  const { spec } = job;
  const tasksByZone = new Map<string, number>();
  for (const pool of candidateIndex.pools) {
    if (!allows(spec, pool.typeName, pool.zone, pool.spot)) continue;
    for (const candidate of pool.candidates) {
      const count = Math.min(spec.tasks, countThatFit(spec.demand, candidate.free));
      tasksByZone.set(pool.zone, (tasksByZone.get(pool.zone) ?? 0) + count);
    }
  }
  const best = [...tasksByZone].sort((a, b) => b[1] - a[1])[0];
  return best === undefined || best[1] === 0 ? null : best[0];
};

/** Zones with capacity for one more of the job's tasks now. */
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
 * What a job may use, for those to which all zones of it are open. Of machines reserved for another job it is how
 * many the job may backfill: whoever may backfill more of them may find capacity where others found none. Without that
 * the very job that had the reservation took its machines for full, since another had searched before it, and they stood
 * idle.
 */
const constraintKey = (job: Job, { reservation }: CandidateIndex, now: Micros): string | null => {
  const { spec } = job;
  if (spec.spread || spec.singleZone) return null;
  let backfillable = 0;
  for (const machine of reservation?.machines.keys() ?? []) {
    if (mayBackfill(reservation, job, machine, now)) backfillable += 1;
  }
  return `${spec.types?.join(",") ?? "*"}/${spec.zone ?? "*"}/${spec.spot}/${backfillable}`;
};

/** Capacity only shrinks within a round: a demand without any stands for all that are as large or larger. */
export const isKnownExhausted = (job: Job, candidateIndex: CandidateIndex, now: Micros): boolean => {
  const key = constraintKey(job, candidateIndex, now);
  if (key === null) return false;
  return candidateIndex.exhaustedDemands.get(key)?.some((demand) => fits(demand, job.spec.demand)) ?? false;
};

/** Notes that there is no capacity left for the job's demand in this round. */
export const markExhausted = (job: Job, candidateIndex: CandidateIndex, now: Micros): void => {
  const { spec } = job;
  const key = constraintKey(job, candidateIndex, now);
  if (key === null) return;
  const demands = candidateIndex.exhaustedDemands.get(key) ?? [];
  demands.push(spec.demand);
  candidateIndex.exhaustedDemands.set(key, demands);
};
