/**
 * Index of the machines that can take tasks in one round, by pool. It is updated as tasks are placed, and records the
 * demands for which no capacity was found, so that other jobs with such demands skip the search.
 */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { Resources } from "../../protocol/resources.js";
import type { Micros } from "../../transport/clock.js";
import { mayBackfill, type Reservation } from "./capacity-reservation.js";
import {
  isReady,
  isReadyForTrial,
  jobAllowsMachine,
  placedTasksByZone,
  readyMachines,
  zoneAllowed,
} from "./eligibility.js";
import type { GuaranteeUsage } from "./guarantee-usage.js";
import { countThatFit, fits, type Images, subtractResources } from "./placement/bfgp.js";
import type { RankedServer } from "./placement/ranking.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** A machine that can take tasks, with the capacity that it has left in this round. */
export interface Candidate extends RankedServer {
  readonly machine: Machine;
  /** The machine is faulty, and takes one task as a trial. */
  readonly onTrial: boolean;
}

/** Images of a machine; as in the paper, an image that is being fetched counts as present. */
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

const asCandidate = (machine: Machine, type: MachineType, order: number, onTrial = false): Candidate => ({
  name: machine.name,
  order,
  capacity: type.capacity,
  free: subtractResources(type.capacity, machine.load.used),
  busy: machine.tasks.size > 0,
  images: new MachineImages(machine),
  fetchGbPerS: type.fetchGbPerS,
  machine,
  onTrial,
});

/** A copy for trial placements, which do not affect the original. */
export const copyCandidate = (candidate: Candidate): Candidate => ({
  ...candidate,
  images: new MachineImages(candidate.machine),
});

/** Machines of one type, zone and kind (spot or on-demand): a job may use either all of them or none. */
export interface MachinePool {
  readonly typeName: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The number of machines that can take tasks, with or without free capacity. */
  machineCount: number;
  /** The number of these that run replicas of services. */
  machinesWithReplicas: number;
  /** The machines with capacity for the smallest waiting demand. */
  readonly candidates: Candidate[];
}

/** The machines, budgets and search results that the stages of one round share. */
export interface CandidateIndex {
  readonly pools: readonly MachinePool[];
  readonly machines: readonly Machine[];
  readonly zonesWithMostTypes: ReadonlySet<string>;
  /** Demands for which no capacity was found in this round, by `constraintKey` of their jobs. */
  readonly exhaustedDemands: Map<string, Resources[]>;
  /** Cache: zones with capacity for one of a job's tasks, as first determined in this round. */
  readonly zonesWithCapacity: Map<Job, ReadonlySet<string>>;
  /** Cache: machines of a job's placed tasks, as of the round's first victim search among them. */
  readonly machinesByJob: Map<Job, readonly Machine[]>;
  readonly guarantees: GuaranteeUsage;
  /** The capacity reservation for one job, if there is one. */
  reservation: Reservation | null;
  /** The number of victim searches made in this round. */
  preemptionSearches: number;
  /** How many more task ranges of urgent and of other jobs may have placements that are not on record yet. */
  readonly recordBudget: Record<"urgent" | "normal", number>;
}

/** All machines that can take tasks now, with their free capacity. */
export const listCandidates = (snapshot: SchedulerSnapshot): Candidate[] => {
  const list: Candidate[] = [];
  for (const machine of readyMachines(snapshot)) list.push(asCandidate(machine, machine.type, list.length));
  return list;
};

/**
 * The zones where the cloud offers the most machine types. Tasks that may run anywhere prefer them, since the other,
 * smaller zones are needed for the second half of jobs that must be spread.
 */
const findZonesWithMostTypes = ({ shard }: SchedulerSnapshot): ReadonlySet<string> => {
  const typesByZone = new Map<string, number>();
  for (const type of shard.machineTypes().values()) {
    for (const zone of type.zones) typesByZone.set(zone, (typesByZone.get(zone) ?? 0) + 1);
  }
  const maxTypes = Math.max(0, ...typesByZone.values());
  return new Set([...typesByZone].filter(([, types]) => types === maxTypes).map(([zone]) => zone));
};

/** The minimum of each resource over the demands of the jobs' tasks. */
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

/** The machine's pool among `pools`; added if missing. */
const findOrAddPool = (pools: MachinePool[], { typeName, zone, spot }: Machine): MachinePool => {
  for (const known of pools)
    if (known.zone === zone && known.spot === spot && known.typeName === typeName) return known;
  const pool: MachinePool = { typeName, zone, spot, machineCount: 0, machinesWithReplicas: 0, candidates: [] };
  pools.push(pool);
  return pool;
};

/** Indexes the ready machines for the waiting jobs at the start of a round. */
export const buildCandidateIndex = (
  snapshot: SchedulerSnapshot,
  jobs: readonly Job[],
  guarantees: GuaranteeUsage,
  reservation: Reservation | null,
): CandidateIndex => {
  const smallest = smallestDemand(jobs);
  const pools: MachinePool[] = [];
  const machines: Machine[] = [];
  // Hot loop over every machine in every round: it avoids a generator and a string key for each machine.
  for (const machine of snapshot.shard.machines.values()) {
    const onTrial = isReadyForTrial(machine, snapshot);
    if (!onTrial && !isReady(machine, snapshot)) continue;
    const { type } = machine;
    const pool = findOrAddPool(pools, machine);
    pool.machineCount += 1;
    if (machine.load.replicas > 0) pool.machinesWithReplicas += 1;
    const { used } = machine.load;
    const { capacity } = type;
    const hasCapacity =
      smallest.cpu <= capacity.cpu - used.cpu &&
      smallest.gpu <= capacity.gpu - used.gpu &&
      smallest.ram <= capacity.ram - used.ram;
    if (hasCapacity) pool.candidates.push(asCandidate(machine, type, machines.length, onTrial));
    if (!onTrial) machines.push(machine);
  }
  snapshot.inspection.count += machines.length;
  return {
    pools,
    machines,
    zonesWithMostTypes: findZonesWithMostTypes(snapshot),
    exhaustedDemands: new Map(),
    zonesWithCapacity: new Map(),
    machinesByJob: new Map(),
    guarantees,
    reservation,
    preemptionSearches: 0,
    recordBudget: { ...snapshot.recordBudget },
  };
};

/** The zone with capacity for the most tasks of a job that must run in one zone; null if no zone has any. */
export const zoneWithMostCapacity = (job: Job, candidateIndex: CandidateIndex): string | null => {
  const { spec } = job;
  const tasksByZone = new Map<string, number>();
  for (const pool of candidateIndex.pools) {
    if (!jobAllowsMachine(spec, pool.typeName, pool.zone, pool.spot)) continue;
    for (const candidate of pool.candidates) {
      const maxTasks = candidate.onTrial ? 1 : spec.tasks;
      const count = Math.min(maxTasks, countThatFit(spec.demand, candidate.free));
      tasksByZone.set(pool.zone, (tasksByZone.get(pool.zone) ?? 0) + count);
    }
  }
  const best = [...tasksByZone].sort((a, b) => b[1] - a[1])[0];
  return best === undefined || best[1] === 0 ? null : best[0];
};

/** The zones that the job may use and that have capacity for one more of its tasks now. */
export const zonesWithCapacity = (job: Job, candidateIndex: CandidateIndex): ReadonlySet<string> => {
  const { spec } = job;
  const counts = placedTasksByZone(job);
  const zones = new Set<string>();
  for (const { typeName, zone, spot, candidates } of candidateIndex.pools) {
    if (zones.has(zone) || !jobAllowsMachine(spec, typeName, zone, spot) || !zoneAllowed(spec, counts, zone)) continue;
    if (candidates.some(({ free, onTrial }) => !onTrial && fits(spec.demand, free))) zones.add(zone);
  }
  return zones;
};

/**
 * A key that is equal for jobs with the same constraints; null for jobs whose zones depend on their placed tasks. It
 * includes how many reserved machines the job may use, since a job that may use more of them may find capacity where
 * others found none. Without that, the job holding the reservation shared the failed search of an earlier job that may
 * not backfill, and its reserved machines stayed idle.
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

/**
 * Whether a job with the same constraints and no larger demand has found no capacity in this round: capacity only
 * shrinks within a round.
 */
export const isKnownExhausted = (job: Job, candidateIndex: CandidateIndex, now: Micros): boolean => {
  const key = constraintKey(job, candidateIndex, now);
  if (key === null) return false;
  return candidateIndex.exhaustedDemands.get(key)?.some((demand) => fits(demand, job.spec.demand)) ?? false;
};

/** Records that there is no capacity left for the job's demand in this round. */
export const markExhausted = (job: Job, candidateIndex: CandidateIndex, now: Micros): void => {
  const { spec } = job;
  const key = constraintKey(job, candidateIndex, now);
  if (key === null) return;
  const demands = candidateIndex.exhaustedDemands.get(key) ?? [];
  demands.push(spec.demand);
  candidateIndex.exhaustedDemands.set(key, demands);
};
