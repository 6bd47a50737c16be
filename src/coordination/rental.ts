import { newMachine } from "../bookkeeping/machines.js";
import type { Job, Machine } from "../bookkeeping/picture.js";
import type { ListedMachine, MachineType } from "../protocol/cloud.js";
import type { Demand, JobSpec } from "../protocol/user.js";
import { type Micros, ms, seconds, sleep } from "../transport/clock.js";
import type { Cloud } from "./cloud.js";
import { type BlockContext, backOff } from "./context.js";
import type { Observer } from "./observer.js";
import { fits, howMany, minus } from "./placement/bfgp.js";
import { allows, type Candidate, type Rounds, zoneAllowed, zoneCounts } from "./rounds.js";

const PLAN_PERIOD = ms(400);
const MIN_CHARGE = seconds(58);
const REFUSAL_FIRST = seconds(4);
const REFUSAL_MOST = seconds(40);
/** A boot is late beyond this multiple of the type's time, and given up beyond the other. */
const LATE_BOOT = 1.8;
const DEAD_BOOT = 5;
const MAX_ASK = 50;
/** Asks in one go for the same type, zone and kind; the next plan asks for what is still missing. */
const MAX_ASKS = 4;
const MAX_PACKED = 10_000;
/** Machines looked at in one go for whether their replicas could go elsewhere. */
const MOVE_TRIES = 4;
const MAX_DELETE = 100;
/** Estimates are often wrong by half, so not all of a job is left to what ends soon. */
const ABSORB_MOST = 0.8;
const PATIENCE_SHARE = 0.5;
const RECENT_JOBS = 30;
const MOVE_MOST = 10;
const MOVE_LOOK = seconds(2);
const MOVE_PERIOD = seconds(15);

interface Option {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** Room that is there or on its way. */
interface Bin extends Option {
  readonly machine: Machine | null;
  free: Demand;
  used: boolean;
}

interface Ask {
  readonly name: string;
  readonly option: Option;
  readonly count: number;
  readonly since: Micros;
}

interface Ending {
  readonly left: number;
  readonly cpu: number;
  readonly typeName: string;
  readonly zone: string;
  readonly spot: boolean;
}

interface ClassHistory {
  spec: JobSpec;
  readonly sizes: number[];
}

const order = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);
const optionKey = (option: Option): string => `${option.type.name}/${option.zone}/${option.spot}`;
const priceOf = (option: Option): number => (option.spot ? option.type.spotPrice : option.type.price);

/** Brings the machines that are present towards those that are wanted. */
export class Rental {
  private readonly asks: Ask[] = [];
  private counter = 0;
  private readonly refusals = new Map<string, { until: Micros; count: number }>();
  private readonly history = new Map<string, ClassHistory>();
  /** Zones that cannot be reached as a whole: nothing is rented there, and room is made elsewhere. */
  cutZones: ReadonlySet<string> = new Set();
  private readonly doomed: Machine[] = [];
  private removing = false;
  private stopped = false;
  private listed = false;
  private consolidateAfter: Micros = 0 as Micros;

  constructor(
    private readonly context: BlockContext,
    private readonly cloud: Cloud,
    private readonly rounds: Rounds,
    private readonly observer: Observer,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  /** Sizes of recent jobs tell how much room the next one is likely to want at once. */
  learn(spec: JobSpec): void {
    const known = this.history.get(spec.jobClass) ?? { spec, sizes: [] };
    known.spec = spec;
    known.sizes.push(spec.tasks);
    if (known.sizes.length > RECENT_JOBS) known.sizes.shift();
    this.history.set(spec.jobClass, known);
  }

  async run(): Promise<void> {
    void this.loop(() => this.watchList(), this.listPeriod());
    await this.loop(() => this.plan(), PLAN_PERIOD);
  }

  private listPeriod(): Micros {
    return Math.max(seconds(2), this.context.settings.cloud.listLag / 2) as Micros;
  }

  private async loop(step: () => Promise<void>, period: Micros): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.context.lease.valid()) await step();
      } catch (error) {
        this.context.log.error("rental step failed", { error: String(error) });
      }
      await sleep(this.context.clock, period);
    }
  }

  // What the cloud says -----------------------------------------------------------------------------------

  private async watchList(): Promise<void> {
    const reply = await this.cloud.list();
    if (reply.kind !== "ok" || this.stopped) return;
    const { block, clock, settings } = this.context;
    const names = new Set<string>();
    for (const listed of reply.value) {
      names.add(listed.name);
      if (!block.deleted.has(listed.name)) this.take(listed);
    }
    this.listed = true;
    const now = clock.now();
    for (const machine of [...block.machines.values()]) {
      if (names.has(machine.name) || machine.tasks.size > 0) continue;
      // Absence is weak, so it only ends records that nothing depends on and that nobody has heard of for long.
      const quiet = now - Math.max(machine.lastHeard, machine.rentedAt);
      if (quiet > settings.workers.lease + 4 * settings.cloud.listLag + seconds(20))
        block.machines.delete(machine.name);
    }
    for (const name of block.deleted) if (!names.has(name) && block.deleted.size > 500) block.deleted.delete(name);
  }

  private take(listed: ListedMachine): void {
    const { block, clock, log } = this.context;
    const type = block.types().get(listed.type) ?? null;
    let machine = block.machines.get(listed.name);
    if (machine === undefined) {
      machine = newMachine(listed.name, listed.type, type, listed.zone, listed.spot, clock.now());
      machine.rentedAt = (clock.now() - seconds(listed.ageS)) as Micros;
      block.machines.set(listed.name, machine);
      log.info("machine found", { machine: listed.name, state: listed.state });
    }
    machine.type = type;
    machine.typeName = listed.type;
    machine.zone = listed.zone;
    machine.spot = listed.spot;
    machine.address ??= listed.address;
    // After a handover this finds the machines at once, long before their workers have found us.
    if (listed.state === "running" && machine.state === "booting") this.context.inquire(machine);
    if (listed.state === "failed" && !machine.deleting) {
      log.info("machine failed", { machine: machine.name });
      this.observer.lost(machine, "failed");
      void this.remove([machine]);
    }
  }

  /** One call at a time for all that is to go: a call for each few machines left no calls for rentals in a wave. */
  async remove(machines: readonly Machine[]): Promise<void> {
    for (const machine of machines) machine.deleting = true;
    this.doomed.push(...machines);
    if (this.removing) return;
    this.removing = true;
    try {
      // The cloud takes so many names at once; a longer list was refused for ever, and a zone's machines stayed.
      while (this.doomed.length > 0 && !this.stopped) await this.removePart(this.doomed.splice(0, MAX_DELETE));
    } finally {
      this.removing = false;
    }
  }

  /** The answer proves that the machines and all that was on them are gone. */
  private async removePart(machines: readonly Machine[]): Promise<void> {
    const { block, clock, lease, log } = this.context;
    for (let tries = 0; !this.stopped; tries += 1) {
      if (lease.valid()) {
        const reply = await this.cloud.delete(machines.map((machine) => machine.name));
        if (reply.kind === "ok") break;
      }
      await sleep(clock, backOff(tries, ms(500), seconds(5)));
    }
    if (this.stopped) return;
    for (const machine of machines) {
      machine.state = "gone";
      block.deleted.add(machine.name);
      this.observer.lost(machine, "deleted");
      block.machines.delete(machine.name);
    }
    log.info("machines deleted", { machines: machines.map((machine) => machine.name) });
  }

  // What is wanted ----------------------------------------------------------------------------------------

  private async plan(): Promise<void> {
    if (!this.listed || this.context.block.types().size === 0) return;
    const bins = this.bins();
    const before = bins.length;
    this.packWaiting(bins);
    if (this.cutZones.size > 0) this.packCutOff(bins);
    this.packHeadroom(bins);
    this.rent(bins.slice(before));
    this.giveBack(bins);
    this.consolidate();
    await this.settleAsks();
  }

  private bins(): Bin[] {
    const { block, clock } = this.context;
    const now = clock.now();
    const bins: Bin[] = this.rounds.candidates().flatMap(({ machine, free }) =>
      machine.type === null
        ? []
        : [
            {
              type: machine.type,
              zone: machine.zone,
              spot: machine.spot,
              machine,
              free,
              used: machine.tasks.size > 0,
            },
          ],
    );
    // Fullest and cheapest first: what stays empty at the end is what can go back.
    bins.sort(
      (a, b) =>
        Number(b.used) - Number(a.used) ||
        Number(b.spot) - Number(a.spot) ||
        order(a.machine?.name ?? "", b.machine?.name ?? ""),
    );
    for (const machine of block.machines.values()) {
      const { type } = machine;
      if (type === null || machine.state !== "booting" || machine.deleting) continue;
      if (now - machine.rentedAt > seconds(type.bootS * LATE_BOOT + 2)) continue;
      bins.push({ type, zone: machine.zone, spot: machine.spot, machine, free: type.capacity, used: false });
    }
    for (const ask of this.asks) {
      for (let at = 0; at < ask.count; at += 1) {
        bins.push({ ...ask.option, machine: null, free: ask.option.type.capacity, used: false });
      }
    }
    return bins;
  }

  private packWaiting(bins: Bin[]): void {
    const { block, settings } = this.context;
    const soon = this.endings();
    for (const job of this.rounds.waiting()) {
      const { spec } = job;
      let count =
        job.waiting.size + Math.max(0, spec.tasks - job.ranges.reduce((sum, range) => sum + range.tasks.length, 0));
      const limit = settings.teams.get(spec.team)?.limit.cpu ?? null;
      if (limit !== null && spec.demand.cpu > 0) {
        count = Math.min(count, Math.max(0, Math.floor((limit - block.teamUse(spec.team).cpu) / spec.demand.cpu)));
      }
      count -= this.absorbed(spec, count, soon);
      this.pack(spec, count, zoneCounts(job), bins);
    }
  }

  /** Tasks that ought to end soon, the soonest first: what follows on their room need not wait for a boot. */
  private endings(): Ending[] {
    const now = this.context.clock.now();
    const list: Ending[] = [];
    for (const { spec, placed } of this.context.block.jobs.values()) {
      if (spec.shape === "service" || spec.estimateS <= 0) continue;
      for (const { runningSince, on } of placed) {
        if (runningSince === null || on === null || on.type === null || on.drain !== null) continue;
        const left = Math.max(0, runningSince + seconds(spec.estimateS) - now);
        list.push({ left, cpu: spec.demand.cpu, typeName: on.typeName, zone: on.zone, spot: on.spot });
      }
    }
    return list.sort((a, b) => a.left - b.left);
  }

  /** So many of the job's tasks can wait for room that comes free in time, as its class may wait. */
  private absorbed(spec: JobSpec, count: number, soon: Ending[]): number {
    const patience = this.patience(spec);
    if (patience <= 0 || spec.shape !== "array" || spec.demand.cpu <= 0) return 0;
    const most = Math.floor(count * ABSORB_MOST);
    let room = 0;
    let kept = 0;
    let at = 0;
    for (; at < soon.length && room < most * spec.demand.cpu; at += 1) {
      const ending = soon[at];
      if (ending === undefined || ending.left > patience) break;
      if (allows(spec, ending.typeName, ending.zone, ending.spot)) room += ending.cpu;
      else {
        soon[kept] = ending;
        kept += 1;
      }
    }
    soon.splice(kept, at - kept);
    return Math.min(most, Math.floor(room / spec.demand.cpu));
  }

  /** Half of the shortest time in which tasks of the class, or of a team with a guarantee, are expected to start. */
  private patience(spec: JobSpec): number {
    const { settings } = this.context;
    const guaranteed = settings.teams.get(spec.team)?.guaranteed;
    const entitled = guaranteed !== undefined && guaranteed.cpu + guaranteed.gpu > 0;
    let least = Number.POSITIVE_INFINITY;
    for (const { kind, jobClass, within } of settings.objectives) {
      const counts = (kind === "wait" && jobClass === spec.jobClass) || (kind === "guarantee" && entitled);
      if (counts && within !== null) least = Math.min(least, within);
    }
    return Number.isFinite(least) ? least * PATIENCE_SHARE : 0;
  }

  /** Replicas that cannot be reached will have to start elsewhere the moment their worker's lease is over. */
  private packCutOff(bins: Bin[]): void {
    const missing = new Map<Job, number>();
    for (const { zone, tasks } of this.context.block.machines.values()) {
      if (!this.cutZones.has(zone)) continue;
      for (const { job } of tasks) {
        if (job.spec.shape === "service") missing.set(job, (missing.get(job) ?? 0) + 1);
      }
    }
    for (const [job, count] of missing) {
      const counts = zoneCounts(job);
      for (const zone of this.cutZones) counts.delete(zone);
      this.pack(job.spec, count, counts, bins);
    }
  }

  /** A start within a second cannot wait for a boot: such classes find the room for a usual job standing. */
  private packHeadroom(bins: Bin[]): void {
    for (const { spec, count } of this.standing()) {
      this.pack({ ...spec, oneZone: false, tasks: 1_000 }, count, new Map(), bins);
    }
  }

  /** Room kept free: for each class in a hurry, a usual job's. */
  private standing(): { readonly spec: JobSpec; readonly count: number }[] {
    const { settings, options } = this.context;
    const wanted: { spec: JobSpec; count: number }[] = [];
    const classes = [...this.history.values()].sort((a, b) => Number(a.spec.spot) - Number(b.spec.spot));
    for (const { spec, sizes } of classes) {
      const boot = Math.min(...[...this.context.block.types().values()].map((type) => type.bootS));
      const hurried = settings.objectives.some(
        (objective) =>
          objective.kind === "wait" &&
          objective.jobClass === spec.jobClass &&
          (objective.within ?? seconds(1e6)) < seconds(boot),
      );
      if (!hurried) continue;
      const usual = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
      wanted.push({ spec, count: Math.ceil(usual * options.headroom) });
    }
    return wanted;
  }

  /** First fit, a whole bin at a time: walking all bins for each task took most of a controller's time. */
  private pack(spec: JobSpec, count: number, counts: Map<string, number>, bins: Bin[]): void {
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
      counts.set(bin.zone, (counts.get(bin.zone) ?? 0) + number);
      left -= number;
    };
    for (const bin of bins) {
      if (left <= 0) return;
      if (bin.free.cpu < spec.demand.cpu || !fits(spec.demand, bin.free)) continue;
      if (allows(spec, bin.type.name, bin.zone, bin.spot)) fill(bin);
    }
    const places = new Map<string, number>();
    const place = ({ zone, spot }: { zone: string; spot: boolean }): string => `${zone}/${spot}`;
    if (left > 0) for (const bin of bins) places.set(place(bin), (places.get(place(bin)) ?? 0) + 1);
    while (left > 0) {
      const option = this.best(spec, left, counts, (other) => (places.get(place(other)) ?? 0) / (bins.length + 1));
      if (option === null) return;
      const bin: Bin = { ...option, machine: null, free: option.type.capacity, used: false };
      bins.push(bin);
      places.set(place(bin), (places.get(place(bin)) ?? 0) + 1);
      fill(bin);
      if (!bin.used) return;
    }
  }

  /** The cheapest by the task; among near equals the zone that holds least, so that a wave takes less. */
  private best(
    spec: JobSpec,
    left: number,
    counts: ReadonlyMap<string, number>,
    shareOf: (option: Option) => number,
  ): Option | null {
    const now = this.context.clock.now();
    let best: { option: Option; cost: number } | null = null;
    for (const type of this.context.block.types().values()) {
      const fit = Math.min(left, howMany(spec.demand, type.capacity));
      if (fit === 0) continue;
      for (const zone of type.zones) {
        for (const spot of [false, true]) {
          const option: Option = { type, zone, spot };
          if (!allows(spec, type.name, zone, spot) || !zoneAllowed(spec, counts, zone)) continue;
          if ((this.refusals.get(optionKey(option))?.until ?? 0) > now || this.cutZones.has(zone)) continue;
          const cost = (priceOf(option) / fit) * (1 + 0.2 * shareOf(option));
          if (best === null || cost < best.cost) best = { option, cost };
        }
      }
    }
    return best?.option ?? null;
  }

  // Bringing both together --------------------------------------------------------------------------------

  private rent(wanted: readonly Bin[]): void {
    const { clock, lease } = this.context;
    const groups = new Map<string, { option: Option; count: number }>();
    for (const { type, zone, spot } of wanted) {
      const option = { type, zone, spot };
      const group = groups.get(optionKey(option)) ?? { option, count: 0 };
      group.count += 1;
      groups.set(optionKey(option), group);
    }
    for (const { option, count } of groups.values()) {
      for (let left = Math.min(count, MAX_ASK * MAX_ASKS); left > 0; left -= MAX_ASK) {
        this.counter += 1;
        // Never reused: the lease number is fresh at every handover, the counter within it.
        const name = `r-${lease.block}-${lease.number}-${this.counter}`;
        this.asks.push({ name, option, count: Math.min(left, MAX_ASK), since: clock.now() });
      }
    }
  }

  private async settleAsks(): Promise<void> {
    const { lease } = this.context;
    for (const ask of [...this.asks]) {
      if (!lease.valid() || this.stopped) return;
      const { type, zone, spot } = ask.option;
      const reply = await this.cloud.rent(ask.name, type.name, zone, spot, ask.count);
      if (reply.kind === "failed") return;
      this.asks.splice(this.asks.indexOf(ask), 1);
      this.rented(ask, reply.kind === "ok" ? reply.value : []);
    }
  }

  private rented(ask: Ask, names: readonly string[]): void {
    const { block, clock, log } = this.context;
    const { type, zone, spot } = ask.option;
    log.info("rented", { ask: ask.name, type: type.name, zone, spot, asked: ask.count, got: names.length });
    for (const name of names) {
      const known = block.machines.get(name);
      if (known !== undefined || block.deleted.has(name)) continue;
      const machine = newMachine(name, type.name, type, zone, spot, clock.now());
      machine.rentedAt = ask.since;
      block.machines.set(name, machine);
    }
    const key = optionKey(ask.option);
    if (names.length >= ask.count) {
      this.refusals.delete(key);
      return;
    }
    const count = (this.refusals.get(key)?.count ?? 0) + 1;
    this.refusals.set(key, { until: (clock.now() + backOff(count - 1, REFUSAL_FIRST, REFUSAL_MOST)) as Micros, count });
  }

  /**
   * Replicas stay long after the work that made their machines fill up. An ordinary machine with few of them is
   * emptied, one machine at a time, when all have a place elsewhere that holds their image already.
   */
  private consolidate(): void {
    const { clock, log } = this.context;
    const now = clock.now();
    if (now < this.consolidateAfter) return;
    this.consolidateAfter = (now + MOVE_LOOK) as Micros;
    const servers = this.rounds.candidates().filter(({ machine }) => !machine.spot);
    const used = ({ machine }: Candidate): number => machine.tasks.size;
    const movable = servers
      .filter((server) => used(server) > 0 && used(server) <= MOVE_MOST && now - server.machine.rentedAt > MIN_CHARGE)
      .filter(({ machine }) =>
        [...machine.tasks].every((task) => task.state === "running" && task.job.spec.shape === "service"),
      )
      .sort((a, b) => used(a) - used(b));
    for (const server of movable.slice(0, MOVE_TRIES)) {
      if (!this.fitElsewhere(server, servers)) continue;
      server.machine.drain = "returning";
      this.consolidateAfter = (now + MOVE_PERIOD) as Micros;
      log.info("machine emptied", { machine: server.machine.name, tasks: server.machine.tasks.size });
      return;
    }
  }

  private fitElsewhere(server: Candidate, servers: readonly Candidate[]): boolean {
    const others = servers.filter((other) => other !== server && other.busy).map((other) => ({ ...other }));
    const zones = new Map<Job, Map<string, number>>();
    for (const task of server.machine.tasks) {
      const { spec } = task.job;
      // Kept over the loop: two replicas of one job must not both count on the last place in a zone.
      const counts = zones.get(task.job) ?? zoneCounts(task.job);
      zones.set(task.job, counts);
      counts.set(server.machine.zone, (counts.get(server.machine.zone) ?? 1) - 1);
      const target = others.find(
        ({ machine, free, images }) =>
          fits(spec.demand, free) &&
          images.has(spec.image) &&
          !machine.failures.has(spec.id) &&
          allows(spec, machine.typeName, machine.zone, machine.spot) &&
          zoneAllowed(spec, counts, machine.zone),
      );
      if (target === undefined) return false;
      target.free = minus(target.free, spec.demand);
      counts.set(target.machine.zone, (counts.get(target.machine.zone) ?? 0) + 1);
    }
    // The room kept for the next service must be there afterwards, or a machine would be rented right away.
    return this.standing()
      .filter(({ spec }) => !spec.spot)
      .every(({ spec, count }) => {
        let room = 0;
        for (const { free } of others) room += Math.floor(free.cpu / Math.max(1, spec.demand.cpu));
        return room >= 2 * count;
      });
  }

  private giveBack(bins: readonly Bin[]): void {
    const { block, clock, options } = this.context;
    const now = clock.now();
    const wanted = new Set(bins.filter((bin) => bin.used).map((bin) => bin.machine?.name));
    const back: Machine[] = [];
    for (const machine of block.machines.values()) {
      if (machine.deleting || machine.tasks.size > 0) continue;
      const age = now - machine.rentedAt;
      if (machine.state === "booting") {
        const boot = seconds((machine.type?.bootS ?? 60) * DEAD_BOOT + 15);
        if (age > boot) back.push(machine);
        continue;
      }
      if (machine.drain !== null || machine.type === null) {
        back.push(machine);
        continue;
      }
      const idle = now - machine.idleSince > seconds(options.idleReturnS) && age > MIN_CHARGE;
      if (idle && !wanted.has(machine.name) && machine.noticeUntil === null) back.push(machine);
    }
    if (back.length > 0) void this.remove(back.slice(0, MAX_DELETE));
  }
}
