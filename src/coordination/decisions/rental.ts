import type { Job, Machine } from "../../bookkeeping/picture.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { Demand, JobSpec } from "../../protocol/user.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { fits, howMany, minus } from "../placement/bfgp.js";
import { allows, readyMachines, zoneAllowed, zoneCounts } from "./eligibility.js";
import { waitingJobs } from "./order.js";
import type { Picture } from "./picture.js";
import { PATIENCE_SHARE, patienceOf } from "./promptness.js";
import { mayTry } from "./trial.js";

/** The cloud charges at least about so long. */
export const MIN_CHARGE = seconds(58);
/** A boot is late beyond this multiple of the type's time, and given up beyond the other. */
const LATE_BOOT = 1.8;
const DEAD_BOOT = 5;
const MAX_PACKED = 10_000;
const SWEEP_JOBS = 16;
/** Estimates are often wrong by half, so not all of a job is left to what ends soon. */
const ABSORB_MOST = 0.8;
const RECENT_JOBS = 30;

/** What can be asked of the cloud. */
export interface Option {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

export const optionKey = (option: Option): string => `${option.type.name}/${option.zone}/${option.spot}`;
const priceOf = (option: Option): number => (option.spot ? option.type.spotPrice : option.type.price);

/** What a machine is rented for. */
export type RentReason = "waiting" | "cut off" | "standing";
/** Why a machine goes back. */
export type ReturnReason = "boot given up" | "drained" | "unknown type" | "idle";

export interface Rent {
  readonly option: Option;
  readonly count: number;
  readonly reasons: ReadonlySet<RentReason>;
}

const REFUSAL_FIRST = seconds(4);
const REFUSAL_MOST = seconds(40);

/** Types, zones and kinds that were refused or only partly granted are let be for a while, each time longer. */
export class Refusals {
  private readonly known = new Map<string, { readonly until: Micros; readonly count: number }>();

  until(key: string): Micros {
    return this.known.get(key)?.until ?? (0 as Micros);
  }

  granted(option: Option, asked: number, got: number, now: Micros): void {
    const key = optionKey(option);
    if (got >= asked) {
      this.known.delete(key);
      return;
    }
    const count = (this.known.get(key)?.count ?? 0) + 1;
    const pause = Math.min(REFUSAL_MOST, REFUSAL_FIRST * 2 ** Math.min(20, count - 1));
    this.known.set(key, { until: (now + pause) as Micros, count });
  }
}

/** What is known of the cloud beyond the machines in the picture. */
export interface Market {
  /** Rentals asked for and not answered yet. */
  readonly asked: readonly { readonly option: Option; readonly count: number }[];
  /** Refused lately, and not to be asked before this time. */
  readonly refusedUntil: (key: string) => Micros;
  /** Zones that cannot be reached as a whole: nothing is rented there, and room is made elsewhere. */
  readonly cutZones: ReadonlySet<string>;
  readonly history: History;
}

/** Sizes of recent jobs tell how much room the next one is likely to want at once. */
export class History {
  private readonly classes = new Map<string, { spec: JobSpec; readonly sizes: number[] }>();

  learn(spec: JobSpec): void {
    const known = this.classes.get(spec.jobClass) ?? { spec, sizes: [] };
    known.spec = spec;
    known.sizes.push(spec.tasks);
    if (known.sizes.length > RECENT_JOBS) known.sizes.shift();
    this.classes.set(spec.jobClass, known);
  }

  usual(): readonly { readonly spec: JobSpec; readonly tasks: number }[] {
    return [...this.classes.values()].map(({ spec, sizes }) => ({
      spec,
      tasks: sizes.reduce((sum, size) => sum + size, 0) / sizes.length,
    }));
  }
}

/** Room that is there or on its way. */
interface Bin extends Option {
  readonly machine: Machine | null;
  free: Demand;
  used: boolean;
  reason: RentReason | null;
}

interface PresentBin extends Bin {
  readonly machine: Machine;
}

/** Machines mostly come in the order of their names already, and sorting thousands in every plan was dear. */
const inNameOrder = (bins: PresentBin[]): void => {
  const sorted = bins.every((bin, at) => at === 0 || (bins[at - 1] as PresentBin).machine.name < bin.machine.name);
  if (!sorted) bins.sort((a, b) => (a.machine.name < b.machine.name ? -1 : 1));
};

const presentBins = (picture: Picture, market: Market): Bin[] => {
  // Fullest and cheapest first: what stays empty at the end is what can go back.
  const groups: [PresentBin[], PresentBin[], PresentBin[], PresentBin[]] = [[], [], [], []];
  for (const [machine, type] of readyMachines(picture)) {
    const { zone, spot } = machine;
    const used = machine.tasks.size > 0;
    const free = minus(type.capacity, machine.used);
    groups[(used ? 0 : 2) + (spot ? 0 : 1)]?.push({ type, zone, spot, machine, free, used, reason: null });
  }
  for (const group of groups) inNameOrder(group);
  const bins: Bin[] = groups.flat();
  for (const machine of picture.block.machines.values()) {
    const { type } = machine;
    if (type === null || machine.state !== "booting" || machine.deleting) continue;
    if (picture.now - machine.rentedAt > seconds(type.bootS * LATE_BOOT + 2)) continue;
    const { zone, spot } = machine;
    bins.push({ type, zone, spot, machine, free: type.capacity, used: false, reason: null });
  }
  for (const { option, count } of market.asked) {
    for (let at = 0; at < count; at += 1) {
      bins.push({ ...option, machine: null, free: option.type.capacity, used: false, reason: null });
    }
  }
  return bins;
};

interface Ending {
  readonly left: number;
  readonly cpu: number;
  readonly typeName: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Tasks that ought to end soon, the soonest first: what follows on their room need not wait for a boot. */
const endings = ({ block, now, settings }: Picture): Ending[] => {
  const list: Ending[] = [];
  // Nobody waits for what ends later than the most patient class may wait.
  let longest = 0;
  for (const { kind, within } of settings.objectives) {
    if (kind === "wait" || kind === "guarantee") longest = Math.max(longest, (within ?? 0) * PATIENCE_SHARE);
  }
  for (const { spec, placed } of block.jobs.values()) {
    if (spec.shape === "service" || spec.estimateS <= 0) continue;
    const estimate = seconds(spec.estimateS);
    for (const { runningSince, on } of placed) {
      if (runningSince === null || on === null || on.type === null || on.drain !== null) continue;
      const left = Math.max(0, runningSince + estimate - now);
      if (left > longest) continue;
      list.push({ left, cpu: spec.demand.cpu, typeName: on.typeName, zone: on.zone, spot: on.spot });
    }
  }
  return list.sort((a, b) => a.left - b.left);
};

/** So many of the job's tasks can wait for room that comes free in time, as its class may wait. */
const absorbed = (picture: Picture, spec: JobSpec, count: number, endingSoon: () => Ending[]): number => {
  const time = patienceOf(spec, picture.settings);
  if (time <= 0 || spec.shape !== "array" || spec.demand.cpu <= 0) return 0;
  const most = Math.floor(count * ABSORB_MOST);
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
const cheapest = (
  { block, now }: Picture,
  market: Market,
  spec: JobSpec,
  left: number,
  counts: ReadonlyMap<string, number>,
  shareOf: (option: Option) => number,
): Option | null => {
  let best: { option: Option; cost: number } | null = null;
  for (const type of block.types().values()) {
    const fit = Math.min(left, howMany(spec.demand, type.capacity));
    if (fit === 0) continue;
    for (const zone of type.zones) {
      for (const spot of [false, true]) {
        const option: Option = { type, zone, spot };
        if (!allows(spec, type.name, zone, spot) || !zoneAllowed(spec, counts, zone)) continue;
        if (market.refusedUntil(optionKey(option)) > now || market.cutZones.has(zone)) continue;
        const cost = (priceOf(option) / fit) * (1 + 0.2 * shareOf(option));
        if (best === null || cost < best.cost) best = { option, cost };
      }
    }
  }
  return best?.option ?? null;
};

/** First fit, a whole bin at a time: walking all bins for each task took most of a controller's time. */
const pack = (
  picture: Picture,
  market: Market,
  reason: RentReason,
  spec: JobSpec,
  count: number,
  counts: Map<string, number>,
  bins: Bin[],
  /** Those of them that may have room. */
  open: Bin[] = bins,
): void => {
  let left = Math.min(count, MAX_PACKED);
  const share = Math.ceil(spec.tasks / 2);
  const fill = (bin: Bin): void => {
    if (!zoneAllowed(spec, counts, bin.zone)) return;
    let number = Math.min(left, howMany(spec.demand, bin.free));
    if (spec.spread) number = Math.min(number, share - (counts.get(bin.zone) ?? 0) - (counts.get("") ?? 0));
    if (number <= 0) return;
    const { cpu, gpu, ram } = spec.demand;
    bin.free = minus(bin.free, { cpu: cpu * number, gpu: gpu * number, ram: ram * number });
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
    const shareOf = (other: Option): number => (places.get(place(other)) ?? 0) / (bins.length + 1);
    const option = cheapest(picture, market, spec, left, counts, shareOf);
    if (option === null) return;
    const bin: Bin = { ...option, machine: null, free: option.type.capacity, used: false, reason: null };
    bins.push(bin);
    if (open !== bins) open.push(bin);
    places.set(place(bin), (places.get(place(bin)) ?? 0) + 1);
    fill(bin);
    if (!bin.used) return;
  }
};

const packWaiting = (picture: Picture, market: Market, bins: Bin[]): void => {
  const { block, settings } = picture;
  let known: Ending[] | null = null;
  // Walks all that runs, so only where somebody can wait for it.
  const soon = (): Ending[] => {
    known ??= endings(picture);
    return known;
  };
  // With thousands of jobs waiting for thousands of machines, walking the full ones for each job took most of a plan.
  let open = [...bins];
  let packed = 0;
  const jobs = waitingJobs(picture);
  let least = Number.POSITIVE_INFINITY;
  for (const { spec } of jobs) least = Math.min(least, spec.demand.cpu);
  for (const job of jobs) {
    packed += 1;
    if (packed % SWEEP_JOBS === 0) open = open.filter(({ free }) => free.cpu >= least);
    const { spec } = job;
    let count =
      job.waiting.size + Math.max(0, spec.tasks - job.ranges.reduce((sum, range) => sum + range.tasks.length, 0));
    // Rented for all of a job that fails wherever it is started, machines stood empty until its user noticed.
    count = Math.min(count, mayTry(job, picture.now));
    const limit = settings.teams.get(spec.team)?.limit.cpu ?? null;
    if (limit !== null && spec.demand.cpu > 0) {
      count = Math.min(count, Math.max(0, Math.floor((limit - block.teamUse(spec.team).cpu) / spec.demand.cpu)));
    }
    count -= absorbed(picture, spec, count, soon);
    pack(picture, market, "waiting", spec, count, zoneCounts(job), bins, open);
  }
};

/** Replicas that cannot be reached will have to start elsewhere the moment their worker's lease is over. */
const packCutOff = (picture: Picture, market: Market, bins: Bin[]): void => {
  const missing = new Map<Job, number>();
  for (const { zone, tasks } of picture.block.machines.values()) {
    if (!market.cutZones.has(zone)) continue;
    for (const { job } of tasks) {
      if (job.spec.shape === "service") missing.set(job, (missing.get(job) ?? 0) + 1);
    }
  }
  for (const [job, count] of missing) {
    const counts = zoneCounts(job);
    for (const zone of market.cutZones) counts.delete(zone);
    pack(picture, market, "cut off", job.spec, count, counts, bins);
  }
};

/** Room kept free: for each class in a hurry, a usual job's. */
export const standingRoom = (
  { block, settings, options }: Picture,
  history: History,
): { readonly spec: JobSpec; readonly count: number }[] => {
  const wanted: { spec: JobSpec; count: number }[] = [];
  const classes = [...history.usual()].sort((a, b) => Number(a.spec.spot) - Number(b.spec.spot));
  const boot = Math.min(...[...block.types().values()].map((type) => type.bootS));
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
const packStanding = (picture: Picture, market: Market, bins: Bin[]): void => {
  for (const { spec, count } of standingRoom(picture, market.history)) {
    pack(picture, market, "standing", { ...spec, oneZone: false, tasks: 1_000 }, count, new Map(), bins);
  }
};

/** What is to be rented, and what may go back because nothing is expected to use it. */
export interface RentalPlan {
  readonly rent: readonly Rent[];
  readonly back: readonly { readonly machine: Machine; readonly reason: ReturnReason }[];
}

const giveBack = (picture: Picture, bins: readonly Bin[]): RentalPlan["back"] => {
  const { block, now, options } = picture;
  const wanted = new Set<Machine>();
  // Those with tasks stay anyway, and need not be looked up.
  for (const { used, machine } of bins) if (used && machine !== null && machine.tasks.size === 0) wanted.add(machine);
  const back: { machine: Machine; reason: ReturnReason }[] = [];
  for (const machine of block.machines.values()) {
    if (machine.deleting || machine.tasks.size > 0) continue;
    const age = now - machine.rentedAt;
    if (machine.state === "booting") {
      const boot = seconds((machine.type?.bootS ?? 60) * DEAD_BOOT + 15);
      if (age > boot) back.push({ machine, reason: "boot given up" });
      continue;
    }
    if (machine.state === "rumoured") {
      if (age > MIN_CHARGE) back.push({ machine, reason: "boot given up" });
      continue;
    }
    if (machine.drain !== null || machine.type === null) {
      back.push({ machine, reason: machine.type === null ? "unknown type" : "drained" });
      continue;
    }
    const idle = now - machine.idleSince > seconds(options.idleReturnS) && age > MIN_CHARGE;
    if (idle && !wanted.has(machine) && machine.noticeUntil === null) back.push({ machine, reason: "idle" });
  }
  return back;
};

/** Packs what waits and what is likely to come into the room that is there or on its way. */
export const decideRental = (picture: Picture, market: Market): RentalPlan => {
  const bins = presentBins(picture, market);
  const before = bins.length;
  packWaiting(picture, market, bins);
  if (market.cutZones.size > 0) packCutOff(picture, market, bins);
  packStanding(picture, market, bins);
  const groups = new Map<string, { option: Option; count: number; reasons: Set<RentReason> }>();
  for (const { type, zone, spot, reason } of bins.slice(before)) {
    const option = { type, zone, spot };
    const group = groups.get(optionKey(option)) ?? { option, count: 0, reasons: new Set() };
    group.count += 1;
    if (reason !== null) group.reasons.add(reason);
    groups.set(optionKey(option), group);
  }
  return { rent: [...groups.values()], back: giveBack(picture, bins) };
};
