import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Resources } from "../../protocol/resources.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { allows, readyMachines, zoneAllowed, zoneCounts } from "../scheduling/eligibility.js";
import { waitingJobs } from "../scheduling/job-order.js";
import { countThatFit, fits, subtractResources } from "../scheduling/placement/bfgp.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import { MAX_QUEUE_SHARE, maxQueueTime } from "../scheduling/start-deadline.js";
import { allowedStarts } from "../workers/failure-attribution.js";

/** The cloud charges at least about so long. */
export const MIN_CHARGED_TIME = seconds(58);
/** A boot is late beyond this multiple of the type's time, and given up beyond the other. */
const LATE_BOOT_FACTOR = 1.8;
const FAILED_BOOT_FACTOR = 5;
const MAX_PACKED = 10_000;
const SWEEP_INTERVAL_JOBS = 16;
/** Estimates are often wrong by half, so not all of a job is left to what ends soon. */
const MAX_ABSORBED_SHARE = 0.8;
const MAX_RECENT_JOBS = 30;

/** What can be asked of the cloud. */
export interface MachineOffer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

export const offerKey = (offer: MachineOffer): string => `${offer.type.name}/${offer.zone}/${offer.spot}`;
const priceOf = (offer: MachineOffer): number => (offer.spot ? offer.type.spotPrice : offer.type.price);

/** What a machine is rented for. */
export type ScaleOutReason = "waiting" | "cut off" | "standing";
/** Why a machine goes back. */
export type ScaleInReason = "boot given up" | "drained" | "unknown type" | "idle";

export interface ScaleOutRequest {
  readonly offer: MachineOffer;
  readonly count: number;
  readonly reasons: ReadonlySet<ScaleOutReason>;
}

const MIN_REFUSAL_PAUSE = seconds(4);
const MAX_REFUSAL_PAUSE = seconds(40);

/** Types, zones and kinds that were refused or only partly granted are let be for a while, each time longer. */
export class CapacityBackoff {
  private readonly backoffByOffer = new Map<string, { readonly until: Micros; readonly count: number }>();

  until(key: string): Micros {
    return this.backoffByOffer.get(key)?.until ?? (0 as Micros);
  }

  recordGrant(offer: MachineOffer, asked: number, got: number, now: Micros): void {
    const key = offerKey(offer);
    if (got >= asked) {
      this.backoffByOffer.delete(key);
      return;
    }
    const count = (this.backoffByOffer.get(key)?.count ?? 0) + 1;
    const pause = Math.min(MAX_REFUSAL_PAUSE, MIN_REFUSAL_PAUSE * 2 ** Math.min(20, count - 1));
    this.backoffByOffer.set(key, { until: (now + pause) as Micros, count });
  }
}

/** What is known of the cloud beyond the machines in the picture. */
export interface CloudOffers {
  /** Rentals asked for and not answered yet. */
  readonly pendingRequests: readonly { readonly offer: MachineOffer; readonly count: number }[];
  /** Refused lately, and not to be asked before this time. */
  readonly unavailableUntil: (key: string) => Micros;
  /** Zones that cannot be reached as a whole: nothing is rented there, and room is made elsewhere. */
  readonly unreachableZones: ReadonlySet<string>;
  readonly demandHistory: DemandHistory;
}

/** Sizes of recent jobs tell how much room the next one is likely to want at once. */
export class DemandHistory {
  private readonly jobsByClass = new Map<string, { spec: JobSpec; readonly sizes: number[] }>();

  record(spec: JobSpec): void {
    const known = this.jobsByClass.get(spec.jobClass) ?? { spec, sizes: [] };
    known.spec = spec;
    known.sizes.push(spec.tasks);
    if (known.sizes.length > MAX_RECENT_JOBS) known.sizes.shift();
    this.jobsByClass.set(spec.jobClass, known);
  }

  typicalJobs(): readonly { readonly spec: JobSpec; readonly tasks: number }[] {
    return [...this.jobsByClass.values()].map(({ spec, sizes }) => ({
      spec,
      tasks: sizes.reduce((sum, size) => sum + size, 0) / sizes.length,
    }));
  }
}

/** Room that is there or on its way. */
interface CapacityBin extends MachineOffer {
  readonly machine: Machine | null;
  free: Resources;
  used: boolean;
  reason: ScaleOutReason | null;
}

interface MachineBin extends CapacityBin {
  readonly machine: Machine;
}

/** Machines mostly come in the order of their names already, and sorting thousands in every plan was dear. */
const inNameOrder = (bins: MachineBin[]): void => {
  const sorted = bins.every((bin, at) => at === 0 || (bins[at - 1] as MachineBin).machine.name < bin.machine.name);
  if (!sorted) bins.sort((a, b) => (a.machine.name < b.machine.name ? -1 : 1));
};

const existingBins = (snapshot: SchedulerSnapshot, offers: CloudOffers): CapacityBin[] => {
  // Fullest and cheapest first: what stays empty at the end is what can go back.
  const groups: [MachineBin[], MachineBin[], MachineBin[], MachineBin[]] = [[], [], [], []];
  for (const [machine, type] of readyMachines(snapshot)) {
    const { zone, spot } = machine;
    const used = machine.tasks.size > 0;
    const free = subtractResources(type.capacity, machine.load.used);
    groups[(used ? 0 : 2) + (spot ? 0 : 1)]?.push({ type, zone, spot, machine, free, used, reason: null });
  }
  for (const group of groups) inNameOrder(group);
  const bins: CapacityBin[] = groups.flat();
  for (const machine of snapshot.shard.machines.values()) {
    const { type } = machine;
    if (type === null || machine.state !== "booting" || machine.lifecycle.deleting) continue;
    if (snapshot.now - machine.lifecycle.provisionedAt > seconds(type.bootS * LATE_BOOT_FACTOR + 2)) continue;
    const { zone, spot } = machine;
    bins.push({ type, zone, spot, machine, free: type.capacity, used: false, reason: null });
  }
  for (const { offer, count } of offers.pendingRequests) {
    for (let at = 0; at < count; at += 1) {
      bins.push({ ...offer, machine: null, free: offer.type.capacity, used: false, reason: null });
    }
  }
  return bins;
};

interface EndingTask {
  readonly left: number;
  readonly cpu: number;
  readonly typeName: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Tasks that ought to end soon, the soonest first: what follows on their room need not wait for a boot. */
const endingTasks = ({ shard, now, settings }: SchedulerSnapshot): EndingTask[] => {
  const list: EndingTask[] = [];
  // Nobody waits for what ends later than the most patient class may wait.
  let longest = 0;
  for (const { kind, within } of settings.objectives) {
    if (kind === "wait" || kind === "guarantee") longest = Math.max(longest, (within ?? 0) * MAX_QUEUE_SHARE);
  }
  for (const { spec, placedTasks } of shard.jobs.values()) {
    if (spec.shape === "service" || spec.estimatedRunS <= 0) continue;
    const estimate = seconds(spec.estimatedRunS);
    for (const { runningSince, machine } of placedTasks) {
      if (runningSince === null || machine === null || machine.type === null || machine.lifecycle.drainReason !== null)
        continue;
      const left = Math.max(0, runningSince + estimate - now);
      if (left > longest) continue;
      list.push({ left, cpu: spec.demand.cpu, typeName: machine.typeName, zone: machine.zone, spot: machine.spot });
    }
  }
  return list.sort((a, b) => a.left - b.left);
};

/** So many of the job's tasks can wait for room that comes free in time, as its class may wait. */
const absorbedByEndingTasks = (
  snapshot: SchedulerSnapshot,
  spec: JobSpec,
  count: number,
  endingSoon: () => EndingTask[],
): number => {
  const time = maxQueueTime(spec, snapshot.settings);
  if (time <= 0 || spec.shape !== "array" || spec.demand.cpu <= 0) return 0;
  const most = Math.floor(count * MAX_ABSORBED_SHARE);
  if (most <= 0) return 0;
  const soon = endingSoon();
  let room = 0;
  let kept = 0;
  let at = 0;
  for (; at < soon.length && room < most * spec.demand.cpu; at += 1) {
    const ending = soon[at];
    if (ending === undefined || ending.left > time) break;
    if (allows(spec, ending.typeName, ending.zone, ending.spot)) room += ending.cpu;
    else {
      soon[kept] = ending;
      kept += 1;
    }
  }
  soon.splice(kept, at - kept);
  return Math.min(most, Math.floor(room / spec.demand.cpu));
};

/** The cheapest by the task; among near equals the zone that holds least, so that a wave takes less. */
const cheapestOffer = (
  { shard, now }: SchedulerSnapshot,
  offers: CloudOffers,
  spec: JobSpec,
  left: number,
  counts: ReadonlyMap<string, number>,
  shareOf: (offer: MachineOffer) => number,
): MachineOffer | null => {
  let best: { option: MachineOffer; cost: number } | null = null;
  for (const type of shard.machineTypes().values()) {
    const fit = Math.min(left, countThatFit(spec.demand, type.capacity));
    if (fit === 0) continue;
    for (const zone of type.zones) {
      for (const spot of [false, true]) {
        const option: MachineOffer = { type, zone, spot };
        if (!allows(spec, type.name, zone, spot) || !zoneAllowed(spec, counts, zone)) continue;
        if (offers.unavailableUntil(offerKey(option)) > now || offers.unreachableZones.has(zone)) continue;
        const cost = (priceOf(option) / fit) * (1 + 0.2 * shareOf(option));
        if (best === null || cost < best.cost) best = { option, cost };
      }
    }
  }
  return best?.option ?? null;
};

/** First fit, a whole bin at a time: walking all bins for each task took most of a controller's time. */
const pack = (
  snapshot: SchedulerSnapshot,
  offers: CloudOffers,
  reason: ScaleOutReason,
  spec: JobSpec,
  count: number,
  counts: Map<string, number>,
  bins: CapacityBin[],
  /** Those of them that may have room. */
  open: CapacityBin[] = bins,
): void => {
  let left = Math.min(count, MAX_PACKED);
  const share = Math.ceil(spec.tasks / 2);
  const fill = (bin: CapacityBin): void => {
    if (!zoneAllowed(spec, counts, bin.zone)) return;
    let number = Math.min(left, countThatFit(spec.demand, bin.free));
    if (spec.spread) number = Math.min(number, share - (counts.get(bin.zone) ?? 0) - (counts.get("") ?? 0));
    if (number <= 0) return;
    const { cpu, gpu, ram } = spec.demand;
    bin.free = subtractResources(bin.free, { cpu: cpu * number, gpu: gpu * number, ram: ram * number });
    bin.used = true;
    bin.reason ??= reason;
    counts.set(bin.zone, (counts.get(bin.zone) ?? 0) + number);
    left -= number;
  };
  for (const bin of open) {
    if (left <= 0) return;
    if (bin.free.cpu < spec.demand.cpu || !fits(spec.demand, bin.free)) continue;
    if (allows(spec, bin.type.name, bin.zone, bin.spot)) fill(bin);
  }
  const places = new Map<string, number>();
  const place = ({ zone, spot }: { zone: string; spot: boolean }): string => `${zone}/${spot}`;
  if (left > 0) for (const bin of bins) places.set(place(bin), (places.get(place(bin)) ?? 0) + 1);
  while (left > 0) {
    const shareOf = (other: MachineOffer): number => (places.get(place(other)) ?? 0) / (bins.length + 1);
    const offer = cheapestOffer(snapshot, offers, spec, left, counts, shareOf);
    if (offer === null) return;
    const bin: CapacityBin = { ...offer, machine: null, free: offer.type.capacity, used: false, reason: null };
    bins.push(bin);
    if (open !== bins) open.push(bin);
    places.set(place(bin), (places.get(place(bin)) ?? 0) + 1);
    fill(bin);
    if (!bin.used) return;
  }
};

const packWaiting = (snapshot: SchedulerSnapshot, offers: CloudOffers, bins: CapacityBin[]): void => {
  const { shard, settings } = snapshot;
  let known: EndingTask[] | null = null;
  // Walks all that runs, so only where somebody can wait for it.
  const soon = (): EndingTask[] => {
    known ??= endingTasks(snapshot);
    return known;
  };
  // With thousands of jobs waiting for thousands of machines, walking the full ones for each job took most of a plan.
  let open = [...bins];
  let packed = 0;
  const jobs = waitingJobs(snapshot);
  let least = Number.POSITIVE_INFINITY;
  for (const { spec } of jobs) least = Math.min(least, spec.demand.cpu);
  for (const job of jobs) {
    packed += 1;
    if (packed % SWEEP_INTERVAL_JOBS === 0) open = open.filter(({ free }) => free.cpu >= least);
    const { spec } = job;
    let count =
      job.waitingTasks.size + Math.max(0, spec.tasks - job.ranges.reduce((sum, range) => sum + range.tasks.length, 0));
    // Rented for all of a job that fails wherever it is started, machines stood empty until its user noticed.
    count = Math.min(count, allowedStarts(job, snapshot.now));
    const limit = settings.teams.get(spec.team)?.limit.cpu ?? null;
    if (limit !== null && spec.demand.cpu > 0) {
      count = Math.min(count, Math.max(0, Math.floor((limit - shard.teamUsage(spec.team).cpu) / spec.demand.cpu)));
    }
    count -= absorbedByEndingTasks(snapshot, spec, count, soon);
    pack(snapshot, offers, "waiting", spec, count, zoneCounts(job), bins, open);
  }
};

/** Replicas that cannot be reached will have to start elsewhere the moment their worker's lease is over. */
const packUnreachableZones = (snapshot: SchedulerSnapshot, offers: CloudOffers, bins: CapacityBin[]): void => {
  const missing = new Map<Job, number>();
  for (const { zone, tasks } of snapshot.shard.machines.values()) {
    if (!offers.unreachableZones.has(zone)) continue;
    for (const { job } of tasks) {
      if (job.spec.shape === "service") missing.set(job, (missing.get(job) ?? 0) + 1);
    }
  }
  for (const [job, count] of missing) {
    const counts = zoneCounts(job);
    for (const zone of offers.unreachableZones) counts.delete(zone);
    pack(snapshot, offers, "cut off", job.spec, count, counts, bins);
  }
};

/** Room kept free: for each class in a hurry, a usual job's. */
export const headroomDemand = (
  { shard, settings, options }: SchedulerSnapshot,
  demandHistory: DemandHistory,
): { readonly spec: JobSpec; readonly count: number }[] => {
  const wanted: { spec: JobSpec; count: number }[] = [];
  const classes = [...demandHistory.typicalJobs()].sort((a, b) => Number(a.spec.spot) - Number(b.spec.spot));
  const boot = Math.min(...[...shard.machineTypes().values()].map((type) => type.bootS));
  for (const { spec, tasks } of classes) {
    const hurried = settings.objectives.some(
      (objective) =>
        objective.kind === "wait" &&
        objective.jobClass === spec.jobClass &&
        (objective.within ?? seconds(1e6)) < seconds(boot),
    );
    if (hurried) wanted.push({ spec, count: Math.ceil(tasks * options.headroom) });
  }
  return wanted;
};

/** A start within a second cannot wait for a boot: such classes find the room for a usual job standing. */
const packHeadroom = (snapshot: SchedulerSnapshot, offers: CloudOffers, bins: CapacityBin[]): void => {
  for (const { spec, count } of headroomDemand(snapshot, offers.demandHistory)) {
    pack(snapshot, offers, "standing", { ...spec, singleZone: false, tasks: 1_000 }, count, new Map(), bins);
  }
};

/** What is to be rented, and what may go back because nothing is expected to use it. */
export interface ScalePlan {
  readonly scaleOut: readonly ScaleOutRequest[];
  readonly scaleIn: readonly { readonly machine: Machine; readonly reason: ScaleInReason }[];
}

const chooseScaleIn = (snapshot: SchedulerSnapshot, bins: readonly CapacityBin[]): ScalePlan["scaleIn"] => {
  const { shard, now, options } = snapshot;
  const wanted = new Set<Machine>();
  // Those with tasks stay anyway, and need not be looked up.
  for (const { used, machine } of bins) if (used && machine !== null && machine.tasks.size === 0) wanted.add(machine);
  const back: { machine: Machine; reason: ScaleInReason }[] = [];
  for (const machine of shard.machines.values()) {
    if (machine.lifecycle.deleting || machine.tasks.size > 0) continue;
    const age = now - machine.lifecycle.provisionedAt;
    if (machine.state === "booting") {
      const boot = seconds((machine.type?.bootS ?? 60) * FAILED_BOOT_FACTOR + 15);
      if (age > boot) back.push({ machine, reason: "boot given up" });
      continue;
    }
    if (machine.state === "unconfirmed") {
      if (age > MIN_CHARGED_TIME) back.push({ machine, reason: "boot given up" });
      continue;
    }
    if (machine.lifecycle.drainReason !== null || machine.type === null) {
      back.push({ machine, reason: machine.type === null ? "unknown type" : "drained" });
      continue;
    }
    const idle = now - machine.load.idleSince > seconds(options.idleReturnS) && age > MIN_CHARGED_TIME;
    if (idle && !wanted.has(machine) && machine.lifecycle.reclaimAt === null) back.push({ machine, reason: "idle" });
  }
  return back;
};

/** Packs what waits and what is likely to come into the room that is there or on its way. */
export const planScaling = (snapshot: SchedulerSnapshot, offers: CloudOffers): ScalePlan => {
  const bins = existingBins(snapshot, offers);
  const before = bins.length;
  packWaiting(snapshot, offers, bins);
  if (offers.unreachableZones.size > 0) packUnreachableZones(snapshot, offers, bins);
  packHeadroom(snapshot, offers, bins);
  const groups = new Map<string, { offer: MachineOffer; count: number; reasons: Set<ScaleOutReason> }>();
  for (const { type, zone, spot, reason } of bins.slice(before)) {
    const offer = { type, zone, spot };
    const group = groups.get(offerKey(offer)) ?? { offer, count: 0, reasons: new Set() };
    group.count += 1;
    if (reason !== null) group.reasons.add(reason);
    groups.set(offerKey(offer), group);
  }
  return { scaleOut: [...groups.values()], scaleIn: chooseScaleIn(snapshot, bins) };
};
