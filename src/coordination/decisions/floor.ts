import type { Job, Machine } from "../../bookkeeping/picture.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { Demand } from "../../protocol/user.js";
import type { Micros } from "../../transport/clock.js";
import { fits, howMany, type Images, minus } from "../placement/bfgp.js";
import type { Ranked } from "../placement/ranking.js";
import { allows, readyMachines, unready, zoneAllowed, zoneCounts } from "./eligibility.js";
import { waitingJobs } from "./order.js";
import type { Picture } from "./picture.js";
import { mayFill, type Reservation } from "./reservation.js";
import type { Shares } from "./shares.js";

export interface Candidate extends Ranked {
  readonly machine: Machine;
}

/** The paper's optimism: an image on its way counts as being there. */
class MachineImages implements Images {
  private assigned: string | null = null;

  constructor(private readonly machine: Machine) {}

  has(image: string): boolean {
    return this.assigned === image || this.machine.images.has(image) || this.machine.pinned.has(image);
  }

  add(image: string): void {
    this.assigned = image;
  }
}

const asCandidate = (machine: Machine, type: MachineType, order: number): Candidate => ({
  name: machine.name,
  order,
  capacity: type.capacity,
  free: minus(type.capacity, machine.used),
  busy: machine.tasks.size > 0,
  images: new MachineImages(machine),
  fetchGbPerS: type.fetchGbPerS,
  machine,
});

export const copyOf = (server: Candidate): Candidate => ({ ...server, images: new MachineImages(server.machine) });

/** Machines of one type, zone and kind: whether a job may use them is the same for all. */
export interface Pool {
  readonly typeName: string;
  readonly zone: string;
  readonly spot: boolean;
  /** All that can take tasks, and of those the ones with replicas, with or without room. */
  total: number;
  staying: number;
  /** Those with room for the smallest of what is waiting. */
  readonly roomy: Candidate[];
}

/** What a round has to work with. */
export interface Floor {
  readonly pools: readonly Pool[];
  readonly machines: readonly Machine[];
  readonly broad: ReadonlySet<string>;
  /** Demands for which nothing was left in this round, by what the jobs may use. */
  readonly full: Map<string, Demand[]>;
  /** Zones with room for a job's task now. */
  readonly zonesWithRoom: Map<Job, ReadonlySet<string>>;
  /** Machines of the tasks that a job had placed when it was first looked at for something to stop. */
  readonly placedOn: Map<Job, readonly Machine[]>;
  readonly shares: Shares;
  /** Room that is kept for one job. */
  reservation: Reservation | null;
  preemptions: number;
  readonly records: Record<"prompt" | "work", number>;
}

/** Machines that can take tasks now, with what is left on them. */
export const candidates = (picture: Picture): Candidate[] => {
  const list: Candidate[] = [];
  for (const [machine, type] of readyMachines(picture)) list.push(asCandidate(machine, type, list.length));
  return list;
};

/**
 * Zones where the cloud offers most types. What can go anywhere goes there first: a zone with little room is
 * the only one left for the second half of a job that has to be spread.
 */
const broadZones = ({ block }: Picture): ReadonlySet<string> => {
  const count = new Map<string, number>();
  for (const type of block.types().values()) {
    for (const zone of type.zones) count.set(zone, (count.get(zone) ?? 0) + 1);
  }
  const most = Math.max(0, ...count.values());
  return new Set([...count].filter(([, types]) => types === most).map(([zone]) => zone));
};

/** The machines as a round finds them, in pools, for the jobs that wait. */
export const survey = (
  picture: Picture,
  jobs: readonly Job[],
  shares: Shares,
  reservation: Reservation | null,
): Floor => {
  let least: Demand = jobs[0]?.spec.demand ?? { cpu: 0, gpu: 0, ram: 0 };
  for (const { spec } of jobs) {
    const { cpu, gpu, ram } = spec.demand;
    least = { cpu: Math.min(least.cpu, cpu), gpu: Math.min(least.gpu, gpu), ram: Math.min(least.ram, ram) };
  }
  const pools: Pool[] = [];
  const machines: Machine[] = [];
  // Written out, since it is walked for every machine in every round: no generator, no key made up for each.
  for (const machine of picture.block.machines.values()) {
    const { type } = machine;
    if (type === null || unready(machine, picture) !== null) continue;
    const { typeName, zone, spot } = machine;
    let pool = pools.find((known) => known.zone === zone && known.spot === spot && known.typeName === typeName);
    if (pool === undefined) {
      pool = { typeName, zone, spot, total: 0, staying: 0, roomy: [] };
      pools.push(pool);
    }
    pool.total += 1;
    if (machine.replicas > 0) pool.staying += 1;
    const { used } = machine;
    const { capacity } = type;
    const room =
      least.cpu <= capacity.cpu - used.cpu &&
      least.gpu <= capacity.gpu - used.gpu &&
      least.ram <= capacity.ram - used.ram;
    if (room) pool.roomy.push(asCandidate(machine, type, machines.length));
    machines.push(machine);
  }
  picture.work.visited += machines.length;
  return {
    pools,
    machines,
    broad: broadZones(picture),
    full: new Map(),
    zonesWithRoom: new Map(),
    placedOn: new Map(),
    shares,
    reservation,
    preemptions: 0,
    records: { ...picture.records },
  };
};

/** The zone that holds most of the job's tasks now, for jobs that stay in one. */
export const roomiest = (job: Job, floor: Floor): string | null => {
  const { spec } = job;
  const room = new Map<string, number>();
  for (const pool of floor.pools) {
    if (!allows(spec, pool.typeName, pool.zone, pool.spot)) continue;
    for (const server of pool.roomy) {
      const count = Math.min(spec.tasks, howMany(spec.demand, server.free));
      room.set(pool.zone, (room.get(pool.zone) ?? 0) + count);
    }
  }
  const best = [...room].sort((a, b) => b[1] - a[1])[0];
  return best === undefined || best[1] === 0 ? null : best[0];
};

/** Zones with room for one more of the job's tasks now. */
export const zonesWithRoom = (job: Job, floor: Floor): ReadonlySet<string> => {
  const { spec } = job;
  const counts = zoneCounts(job);
  const zones = new Set<string>();
  for (const { typeName, zone, spot, roomy } of floor.pools) {
    if (zones.has(zone) || !allows(spec, typeName, zone, spot) || !zoneAllowed(spec, counts, zone)) continue;
    if (roomy.some(({ free }) => fits(spec.demand, free))) zones.add(zone);
  }
  return zones;
};

/**
 * What a job may use, for those to which all zones of it are open. Of machines whose room is kept for another job it is how
 * many the job may fill: whoever may fill more of them may find room where others found none. Without that the very job
 * for which room was kept took it for full, since another had looked before it, and the room stood empty.
 */
const signature = (job: Job, { reservation }: Floor, now: Micros): string | null => {
  const { spec } = job;
  if (spec.spread || spec.oneZone) return null;
  let kept = 0;
  for (const machine of reservation?.machines.keys() ?? []) if (mayFill(reservation, job, machine, now)) kept += 1;
  return `${spec.types?.join(",") ?? "*"}/${spec.zone ?? "*"}/${spec.spot}/${kept}`;
};

/** Room only shrinks within a round: what found none stands for all that want as much or more. */
export const knownFull = (job: Job, floor: Floor, now: Micros): boolean => {
  const key = signature(job, floor, now);
  if (key === null) return false;
  return floor.full.get(key)?.some((demand) => fits(demand, job.spec.demand)) ?? false;
};

export const noteFull = (job: Job, floor: Floor, now: Micros): void => {
  const { spec } = job;
  const key = signature(job, floor, now);
  if (key === null) return;
  const demands = floor.full.get(key) ?? [];
  demands.push(spec.demand);
  floor.full.set(key, demands);
};

/** For the log: what each pool holds, and what waits. */
export const summary = (
  picture: Picture,
): { readonly pools: Record<string, string>; readonly waiting: Record<string, number> } => {
  const pools = new Map<string, { machines: number; free: number; replicas: number; others: number }>();
  for (const [machine, type] of readyMachines(picture)) {
    const key = `${machine.typeName}/${machine.zone}/${machine.spot ? "spot" : "ordinary"}`;
    const pool = pools.get(key) ?? { machines: 0, free: 0, replicas: 0, others: 0 };
    pools.set(key, pool);
    pool.machines += 1;
    pool.free += (type.capacity.cpu - machine.used.cpu) / 1_000;
    pool.replicas += machine.replicas;
    pool.others += machine.tasks.size - machine.replicas;
  }
  const waiting: Record<string, number> = {};
  for (const job of waitingJobs(picture)) {
    waiting[job.spec.jobClass] = (waiting[job.spec.jobClass] ?? 0) + job.waiting.size;
  }
  const text = [...pools].map(([key, { machines, free, replicas, others }]) => [
    key,
    `${machines} machines, ${Math.round(free)} CPUs free, ${replicas} replicas, ${others} other tasks`,
  ]);
  return { pools: Object.fromEntries(text), waiting };
};
