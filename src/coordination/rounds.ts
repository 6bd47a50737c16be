import type { Job, Machine, Task } from "../bookkeeping/picture.js";
import { attemptOf } from "../bookkeeping/tasks.js";
import type { MachineType } from "../protocol/cloud.js";
import { type Demand, type JobSpec, PRIORITIES } from "../protocol/user.js";
import { type Micros, seconds } from "../transport/clock.js";
import { type BlockContext, firstToken } from "./context.js";
import { assign, fits, howMany, type Images, minus, plus, weight } from "./placement/bfgp.js";
import { type Ranked, Ranking, type Work } from "./placement/ranking.js";
import type { Recorder } from "./recorder.js";

export interface Candidate extends Ranked {
  readonly machine: Machine;
}

const PREEMPT_PAUSE = seconds(3);
const MOVE_PAUSE = seconds(0.3);
/** After a look in vain; and so many looks a round. */
const PREEMPT_RETRY = seconds(1);
const MAX_PREEMPTIONS = 24;
/** Stopped tasks that save nothing leave within moments. */
const PROMISE = seconds(1);
/** Work is only stopped for a guarantee once this share of the time that it has is over: room may come up by itself. */
const GUARANTEE_PATIENCE = 0.6;
const GUARANTEE_TIME = seconds(10);

export const rankOf = (spec: JobSpec): number => PRIORITIES.indexOf(spec.priority);

/** May the job use such a machine at all? */
export const allows = (spec: JobSpec, typeName: string, zone: string, spot: boolean): boolean =>
  (spec.types === null || spec.types.includes(typeName)) &&
  (spec.zone === null || spec.zone === zone) &&
  (!spot || spec.spot);

/** Zones of the job's tasks, wherever one may be; a machine known by name only has the zone "". */
export const zoneCounts = (job: Job): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const task of job.placed) {
    const zone = task.on?.zone ?? "";
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
};

/** Given where the job's other tasks may be, can one more go to this zone? */
export const zoneAllowed = (spec: JobSpec, counts: ReadonlyMap<string, number>, zone: string): boolean => {
  const unknown = counts.get("") ?? 0;
  if (spec.oneZone && [...counts].some(([other, count]) => count > 0 && other !== zone)) return false;
  return !spec.spread || (counts.get(zone) ?? 0) + unknown < Math.ceil(spec.tasks / 2);
};

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

const copyOf = (server: Candidate): Candidate => ({ ...server, images: new MachineImages(server.machine) });

/** Machines of one type, zone and kind: whether a job may use them is the same for all. */
interface Pool {
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
interface Floor {
  readonly pools: readonly Pool[];
  readonly machines: readonly Machine[];
  readonly broad: ReadonlySet<string>;
  /** Demands for which nothing was left in this round, by what the jobs may use. */
  readonly full: Map<string, Demand[]>;
  /** Zones with room for a job's task now. */
  readonly zonesWithRoom: Map<Job, ReadonlySet<string>>;
  preemptions: number;
}

/** One of the narrowings of S_i that are tried in turn. */
interface Narrowing {
  readonly spot: boolean;
  readonly broad: boolean;
  readonly staying: boolean;
}

/**
 * Work that may use spot machines goes there while one fits: the paper leaves the choice of S_i to the
 * operator, and ordinary room is dearer and the only room for the rest. Machines that run replicas stay for
 * long; filling those first lets the others empty and go back.
 */
const NARROWINGS: readonly Narrowing[] = [
  { spot: true, broad: true, staying: false },
  { spot: true, broad: false, staying: false },
  { spot: false, broad: true, staying: true },
  { spot: false, broad: true, staying: false },
  { spot: false, broad: false, staying: false },
];

/** Places a run of one job's tasks, one after the other. */
interface Run {
  next(): Candidate | null;
  /** The task is on the server that `next` gave. */
  taken(server: Candidate): void;
}

/** Placement rounds: what is waiting, in order, each on the machine that Algorithm 1 chooses. */
export class Rounds {
  readonly work: Work = { visited: 0 };
  private readonly promised = new Map<Machine, { free: Demand; readonly until: Micros }>();

  constructor(
    private readonly context: BlockContext,
    private readonly recorder: Recorder,
  ) {}

  /** Machines that can take tasks now. */
  private *ready(): Generator<readonly [Machine, MachineType]> {
    const { block, clock, settings, options, lease } = this.context;
    const now = clock.now();
    const heard = settings.workers.report * options.silentReports;
    const token = firstToken(lease);
    for (const machine of block.machines.values()) {
      const { type } = machine;
      if (type === null || machine.state !== "up" || machine.drain !== null || machine.deleting) continue;
      if (machine.noticeUntil !== null || machine.leaseOver || machine.strays.size > 0) continue;
      if (machine.avoidUntil > now || now - machine.lastHeard > heard || machine.seenToken < token) continue;
      yield [machine, type];
    }
  }

  /** Machines that can take tasks now, with what is left on them. */
  candidates(): Candidate[] {
    const list: Candidate[] = [];
    for (const [machine, type] of this.ready()) list.push(asCandidate(machine, type, list.length));
    return list;
  }

  private survey(jobs: readonly Job[]): Floor {
    let least: Demand = jobs[0]?.spec.demand ?? { cpu: 0, gpu: 0, ram: 0 };
    for (const { spec } of jobs) {
      const { cpu, gpu, ram } = spec.demand;
      least = { cpu: Math.min(least.cpu, cpu), gpu: Math.min(least.gpu, gpu), ram: Math.min(least.ram, ram) };
    }
    const pools = new Map<string, Pool>();
    const machines: Machine[] = [];
    for (const [machine, type] of this.ready()) {
      const { typeName, zone, spot } = machine;
      const key = `${typeName}/${zone}/${spot}`;
      let pool = pools.get(key);
      if (pool === undefined) {
        pool = { typeName, zone, spot, total: 0, staying: 0, roomy: [] };
        pools.set(key, pool);
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
    this.work.visited += machines.length;
    return {
      pools: [...pools.values()],
      machines,
      broad: this.broadZones(),
      full: new Map(),
      zonesWithRoom: new Map(),
      preemptions: 0,
    };
  }

  /** For the log: what each pool holds, and what waits. */
  summary(): { readonly pools: Record<string, string>; readonly waiting: Record<string, number> } {
    const pools = new Map<string, { machines: number; free: number; replicas: number; others: number }>();
    for (const [machine, type] of this.ready()) {
      const key = `${machine.typeName}/${machine.zone}/${machine.spot ? "spot" : "ordinary"}`;
      const pool = pools.get(key) ?? { machines: 0, free: 0, replicas: 0, others: 0 };
      pools.set(key, pool);
      pool.machines += 1;
      pool.free += (type.capacity.cpu - machine.used.cpu) / 1_000;
      pool.replicas += machine.replicas;
      pool.others += machine.tasks.size - machine.replicas;
    }
    const waiting: Record<string, number> = {};
    for (const job of this.waiting()) {
      waiting[job.spec.jobClass] = (waiting[job.spec.jobClass] ?? 0) + job.waiting.size;
    }
    const text = [...pools].map(([key, { machines, free, replicas, others }]) => [
      key,
      `${machines} machines, ${Math.round(free)} CPUs free, ${replicas} replicas, ${others} other tasks`,
    ]);
    return { pools: Object.fromEntries(text), waiting };
  }

  /** Jobs with something to place now, most important and largest first. */
  waiting(): Job[] {
    const { block, clock } = this.context;
    const now = clock.now();
    const jobs: Job[] = [];
    for (const job of block.jobs.values()) {
      if (job.cancelled || job.ending || job.retryAfter > now) continue;
      if (job.waiting.size === 0) block.openRange(job);
      if (job.waiting.size > 0) jobs.push(job);
    }
    let reference = { cpu: 1, gpu: 0, ram: 1 };
    for (const type of block.types().values()) if (type.capacity.cpu > reference.cpu) reference = type.capacity;
    const keyed = jobs.map((job) => ({
      job,
      rank: rankOf(job.spec),
      borrowed: block.withinGuarantee(job.spec) ? 0 : 1,
      size: weight(job.spec.demand, reference),
      short: job.spec.shape === "service" ? 1 - job.placed.size / job.spec.tasks : 0,
      due: job.spec.deadlineS === null ? Number.MAX_SAFE_INTEGER : job.seenAt + seconds(job.spec.deadlineS),
    }));
    keyed.sort(
      (a, b) =>
        a.rank - b.rank ||
        a.borrowed - b.borrowed ||
        b.size - a.size ||
        // Where room is short for good, a replica is worth most to a service that has few of its own.
        b.short - a.short ||
        (a.short > 0 ? a.job.spec.tasks - b.job.spec.tasks : 0) ||
        a.due - b.due ||
        a.job.seenAt - b.job.seenAt ||
        (a.job.spec.id < b.job.spec.id ? -1 : 1),
    );
    return keyed.map((entry) => entry.job);
  }

  run(): void {
    if (!this.context.lease.valid()) return;
    const jobs = this.waiting();
    if (jobs.length === 0) return;
    const floor = this.survey(jobs);
    for (const job of jobs) {
      let left = this.place(job, floor);
      while (left === "more") left = this.place(job, floor);
      if (left !== null && left !== "limit" && job.spec.shape !== "gang") this.makeRoom(left, floor);
    }
  }

  /** For the task that found no room and for the rest of its job: after a wave hundreds wait at once. */
  private makeRoom(left: Task, floor: Floor): void {
    const now = this.context.clock.now();
    const counts = zoneCounts(left.job);
    for (const [machine, { until }] of this.promised) if (until <= now) this.promised.delete(machine);
    for (const task of left.job.waiting) {
      if (floor.preemptions >= MAX_PREEMPTIONS) return;
      if (task.notBefore > now || task.preemptAfter > now) continue;
      if (!this.usePromised(task, counts) && !this.preempt(task, floor, counts)) return;
    }
  }

  /** Room that stopped tasks are about to leave, beyond what they were stopped for. */
  private usePromised(task: Task, counts: Map<string, number>): boolean {
    const { spec } = task.job;
    for (const [machine, room] of this.promised) {
      if (!fits(spec.demand, room.free) || !allows(spec, machine.typeName, machine.zone, machine.spot)) continue;
      if (!zoneAllowed(spec, counts, machine.zone)) continue;
      room.free = minus(room.free, spec.demand);
      counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
      task.preemptAfter = (this.context.clock.now() + PREEMPT_PAUSE) as Micros;
      return true;
    }
    return false;
  }

  /** Places a job's waiting tasks. The first one for which there is no room, if any, comes back. */
  private place(job: Job, floor: Floor): Task | "more" | "limit" | null {
    const { block, clock } = this.context;
    const { spec } = job;
    const now = clock.now();
    const counts = zoneCounts(job);
    if (spec.oneZone && job.placed.size === 0) {
      const zone = this.roomiest(job, floor);
      if (zone === null) return [...job.waiting][0] ?? null;
      // Keeps the other zones out even before the first task is there.
      counts.set(zone, Number.MIN_VALUE);
    }
    if (spec.shape === "gang") return this.placeGang(job, floor, counts);
    const tasks = [...job.waiting].filter((task) => task.notBefore <= now).sort((a, b) => a.index - b.index);
    const first = tasks[0];
    if (first !== undefined && this.knownFull(spec, floor)) return block.withinLimit(spec) ? first : "limit";
    const run = this.startRun(spec, floor, counts);
    for (const task of tasks) {
      if (!block.withinLimit(spec)) return "limit";
      const server = run.next();
      if (server === null) {
        this.noteFull(spec, floor);
        return task;
      }
      this.put(task, server);
      assign(spec, server);
      run.taken(server);
    }
    return job.waiting.size === 0 && block.openRange(job) ? "more" : null;
  }

  /** What jobs may use, for those to which all zones of it are open. */
  private static signature(spec: JobSpec): string | null {
    if (spec.spread || spec.oneZone) return null;
    return `${spec.types?.join(",") ?? "*"}/${spec.zone ?? "*"}/${spec.spot}`;
  }

  /** Room only shrinks within a round: what found none stands for all that want as much or more. */
  private knownFull(spec: JobSpec, floor: Floor): boolean {
    const signature = Rounds.signature(spec);
    if (signature === null) return false;
    return floor.full.get(signature)?.some((demand) => fits(demand, spec.demand)) ?? false;
  }

  private noteFull(spec: JobSpec, floor: Floor): void {
    const signature = Rounds.signature(spec);
    if (signature === null) return;
    const demands = floor.full.get(signature) ?? [];
    demands.push(spec.demand);
    floor.full.set(signature, demands);
  }

  private startRun(spec: JobSpec, floor: Floor, counts: Map<string, number>): Run {
    const { kappa } = this.context.options;
    const bound = spec.spread || spec.oneZone;
    const usable = floor.pools.filter((pool) => allows(spec, pool.typeName, pool.zone, pool.spot));
    const failed = (server: Candidate): boolean => server.machine.failures.has(spec.id);
    // Not where it has just failed, if there is anywhere else: a faulty machine is often the fullest one.
    const choosy = usable.some(({ roomy }) => roomy.some((s) => !failed(s) && fits(spec.demand, s.free)));
    const open = (): string =>
      usable
        .filter((pool) => zoneAllowed(spec, counts, pool.zone))
        .map(({ zone }) => zone)
        .join();
    let zones = "";
    let at = spec.spot ? 0 : 2;
    let ranking: Ranking<Candidate> | null = null;
    const build = (narrowing: Narrowing): Ranking<Candidate> => {
      const servers: Candidate[] = [];
      let total = 0;
      for (const pool of usable) {
        if (narrowing.spot && !pool.spot) continue;
        if (narrowing.broad && !floor.broad.has(pool.zone)) continue;
        if (bound && !zoneAllowed(spec, counts, pool.zone)) continue;
        total += narrowing.staying ? pool.staying : pool.total;
        for (const server of pool.roomy) {
          if (narrowing.staying && server.machine.replicas === 0) continue;
          if (choosy && server.machine.failures.size > 0 && failed(server)) total -= 1;
          else servers.push(server);
        }
      }
      return new Ranking(spec, servers, total, kappa, this.work);
    };
    const restart = (): void => {
      at = spec.spot ? 0 : 2;
      ranking = null;
    };
    return {
      next: () => {
        if (bound) {
          const now = open();
          if (now !== zones) restart();
          zones = now;
        }
        for (let narrowing = NARROWINGS[at]; narrowing !== undefined; narrowing = NARROWINGS[at]) {
          ranking ??= build(narrowing);
          const server = ranking.choose();
          if (server !== null) return server;
          ranking = null;
          at += 1;
        }
        return null;
      },
      taken: (server) => {
        ranking?.taken();
        const { machine } = server;
        counts.set(machine.zone, Math.floor(counts.get(machine.zone) ?? 0) + 1);
        if (spec.shape !== "service" || machine.replicas !== 1) return;
        const pool = usable.find(
          ({ typeName, zone, spot }) => typeName === machine.typeName && zone === machine.zone && spot === machine.spot,
        );
        if (pool !== undefined) pool.staying += 1;
        // It now belongs to those that are filled first.
        restart();
      },
    };
  }

  private put(task: Task, server: Candidate): void {
    this.context.block.occupy(task, server.machine);
    task.want = { kind: "placed", attempt: attemptOf(task.want) + 1, machine: server.name };
    this.recorder.mark(task.range);
  }

  /** All of a gang's open tasks in this round, or none. */
  private placeGang(job: Job, floor: Floor, counts: Map<string, number>): Task | "limit" | null {
    const { block, clock } = this.context;
    const { spec } = job;
    const now = clock.now();
    while (block.openRange(job));
    const tasks = [...job.waiting].sort((a, b) => a.index - b.index);
    const first = tasks[0];
    if (first === undefined || tasks.some((task) => task.notBefore > now)) return null;
    if (job.placed.size > 0) {
      this.dissolve(job);
      return null;
    }
    if (!block.withinLimit(spec, tasks.length)) return "limit";
    // Works on copies: nothing of a gang that does not fit whole must be left behind.
    const pools = floor.pools.map((pool) => ({ ...pool, roomy: pool.roomy.map(copyOf) }));
    const run = this.startRun(spec, { ...floor, pools }, counts);
    const chosen: Candidate[] = [];
    for (const task of tasks) {
      const server = run.next();
      if (server === null) return task;
      assign(spec, server);
      run.taken(server);
      chosen.push(server);
    }
    const originals = new Map(floor.pools.flatMap(({ roomy }) => roomy.map((server) => [server.machine, server])));
    tasks.forEach((task, index) => {
      const server = originals.get(chosen[index]?.machine as Machine);
      if (server === undefined) return;
      this.put(task, server);
      assign(spec, server);
    });
    return null;
  }

  /** A gang that lost a task cannot go on; the sooner the rest is stopped, the sooner it starts anew together. */
  private dissolve(job: Job): void {
    const { checkpointS, saveS } = job.spec;
    for (const task of job.placed) {
      task.stop ??= { graceS: checkpointS > 0 ? Math.ceil(saveS) : 0 };
      if (task.on !== null) this.context.wakeCommands(task.on);
    }
  }

  /**
   * Zones where the cloud offers most types. What can go anywhere goes there first: a zone with little room is
   * the only one left for the second half of a job that has to be spread.
   */
  private broadZones(): ReadonlySet<string> {
    const count = new Map<string, number>();
    for (const type of this.context.block.types().values()) {
      for (const zone of type.zones) count.set(zone, (count.get(zone) ?? 0) + 1);
    }
    const most = Math.max(0, ...count.values());
    return new Set([...count].filter(([, types]) => types === most).map(([zone]) => zone));
  }

  private roomiest(job: Job, floor: Floor): string | null {
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
  }

  /** Stops the cheapest set of tasks on one machine that makes room for the task, where the rules allow it. */
  private preempt(task: Task, floor: Floor, counts: Map<string, number>): boolean {
    const { clock, log } = this.context;
    const { spec } = task.job;
    const now = clock.now();
    // Looks at every task of every machine, so it is not done for all that wait in each round.
    floor.preemptions += 1;
    let best: { victims: Task[]; cost: number; machine: Machine; free: Demand } | null = null;
    const ran = (victim: Task): number => (victim.runningSince === null ? 0 : now - victim.runningSince);
    for (const machine of floor.machines) {
      if (machine.type === null || !allows(spec, machine.typeName, machine.zone, machine.spot)) continue;
      if (!zoneAllowed(spec, counts, machine.zone)) continue;
      const victims: Task[] = [];
      let free = minus(machine.type.capacity, machine.used);
      let cost = 0;
      const order: Task[] = [];
      this.work.visited += machine.tasks.size;
      for (const victim of machine.tasks) {
        if (this.mayStop(task, victim) || this.movable(task, victim, floor)) order.push(victim);
      }
      if (order.length === 0) continue;
      order.sort((a, b) => rankOf(b.job.spec) - rankOf(a.job.spec) || ran(a) - ran(b));
      for (const victim of order) {
        if (fits(spec.demand, free)) break;
        victims.push(victim);
        free = plus(free, victim.job.spec.demand);
        cost += ran(victim) + seconds(1);
      }
      if (victims.length > 0 && fits(spec.demand, free) && (best === null || cost < best.cost)) {
        best = { victims, cost, machine, free };
      }
    }
    task.preemptAfter = (now + (best === null ? PREEMPT_RETRY : PREEMPT_PAUSE)) as Micros;
    if (best === null) return false;
    const { machine } = best;
    const until = (now + PROMISE) as Micros;
    this.promised.set(machine, { free: minus(best.free, spec.demand), until });
    counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
    log.info("preempting", { task: task.name, machine: machine.name, victims: best.victims.map((v) => v.name) });
    // Its own team is now short of its guarantee, too; without a pause it would be back before the other.
    const pauses = best.victims.map((victim) => (this.movable(task, victim, floor) ? MOVE_PAUSE : PREEMPT_PAUSE));
    best.victims.forEach((victim, index) => {
      const { checkpointS, saveS } = victim.job.spec;
      victim.stop = { graceS: checkpointS > 0 ? Math.ceil(saveS) : 0 };
      victim.notBefore = (now + (pauses[index] ?? PREEMPT_PAUSE)) as Micros;
    });
    // Their room is spoken for: nothing else of this round is to count on it.
    for (const { roomy } of floor.pools) {
      const at = roomy.findIndex((server) => server.machine === machine);
      if (at >= 0) roomy.splice(at, 1);
    }
    this.context.wakeCommands(machine);
    return true;
  }

  /**
   * A replica that could as well run in another zone, with room for it there now, makes way for one of a spread
   * job that cannot: it is moved, which takes seconds, where the other would wait for ever.
   */
  private movable(task: Task, victim: Task, floor: Floor): boolean {
    const { spec } = victim.job;
    if (!task.job.spec.spread || spec.shape !== "service" || victim.job === task.job) return false;
    if (victim.stop !== null || victim.launch.kind !== "seen" || rankOf(spec) < rankOf(task.job.spec)) return false;
    const here = victim.on?.zone ?? "";
    let zones = floor.zonesWithRoom.get(victim.job);
    if (zones === undefined) {
      zones = this.zonesWithRoom(victim.job, floor);
      floor.zonesWithRoom.set(victim.job, zones);
    }
    for (const zone of zones) if (zone !== here) return true;
    return false;
  }

  private zonesWithRoom(job: Job, floor: Floor): ReadonlySet<string> {
    const { spec } = job;
    const counts = zoneCounts(job);
    const zones = new Set<string>();
    for (const { typeName, zone, spot, roomy } of floor.pools) {
      if (zones.has(zone) || !allows(spec, typeName, zone, spot) || !zoneAllowed(spec, counts, zone)) continue;
      if (roomy.some(({ free }) => fits(spec.demand, free))) zones.add(zone);
    }
    return zones;
  }

  private patience(): number {
    const objective = this.context.settings.objectives.find(({ kind }) => kind === "guarantee");
    return (objective?.within ?? GUARANTEE_TIME) * GUARANTEE_PATIENCE;
  }

  private mayStop(task: Task, victim: Task): boolean {
    const { block, clock } = this.context;
    if (victim.stop !== null || victim.launch.kind !== "seen" || victim.job.cancelled) return false;
    if (rankOf(victim.job.spec) > rankOf(task.job.spec)) return true;
    const other = victim.job.spec;
    // Replicas are not stopped for a guarantee: two teams' services kept driving each other off a scarce zone.
    if (other.shape === "service") return false;
    if (other.team === task.job.spec.team || clock.now() - task.waitingSince < this.patience()) return false;
    const guaranteed = this.context.settings.teams.get(other.team)?.guaranteed;
    const beyond = guaranteed === undefined || block.teamUse(other.team).cpu > guaranteed.cpu;
    return beyond && block.withinGuarantee(task.job.spec) && rankOf(other) >= rankOf(task.job.spec);
  }
}
