import type { Machine } from "../bookkeeping/machines.js";
import { attemptOf, type Job, type Task } from "../bookkeeping/tasks.js";
import { type JobSpec, PRIORITIES } from "../protocol/user.js";
import { type Micros, seconds } from "../transport/clock.js";
import { type BlockContext, firstToken } from "./context.js";
import { assign, choose, fits, minus, plus, type Server, weight } from "./placement/bfgp.js";
import type { Recorder } from "./recorder.js";

export interface Candidate extends Server {
  readonly machine: Machine;
}

const PREEMPT_PAUSE = seconds(3);
const MOVE_PAUSE = seconds(0.3);
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

const hostsService = (machine: Machine): boolean => {
  for (const task of machine.tasks) if (task.job.spec.shape === "service") return true;
  return false;
};

/** Placement rounds: what is waiting, in order, each on the machine that Algorithm 1 chooses. */
export class Rounds {
  constructor(
    private readonly context: BlockContext,
    private readonly recorder: Recorder,
  ) {}

  /** Machines that can take tasks now, with what is left on them. */
  candidates(): Candidate[] {
    const { block, clock, settings, options } = this.context;
    const now = clock.now();
    const heard = settings.workers.report * options.silentReports;
    const list: Candidate[] = [];
    for (const machine of block.machines.values()) {
      const { type } = machine;
      if (type === null || machine.state !== "up" || machine.drain !== null || machine.deleting) continue;
      if (machine.noticeUntil !== null || machine.leaseOver || machine.strays.size > 0) continue;
      if (machine.avoidUntil > now || now - machine.lastHeard > heard) continue;
      if (machine.seenToken < firstToken(this.context.lease)) continue;
      let free = type.capacity;
      // Optimistic as in the paper: an image on its way counts as being there.
      const images = new Set(machine.images.keys());
      for (const task of machine.tasks) {
        free = minus(free, task.job.spec.demand);
        images.add(task.job.spec.image);
      }
      list.push({
        name: machine.name,
        capacity: type.capacity,
        free,
        busy: machine.tasks.size > 0,
        images,
        fetchGbPerS: type.fetchGbPerS,
        machine,
      });
    }
    return list;
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
      due: job.spec.deadlineS === null ? Number.MAX_SAFE_INTEGER : job.seenAt + seconds(job.spec.deadlineS),
    }));
    keyed.sort(
      (a, b) =>
        a.rank - b.rank ||
        a.borrowed - b.borrowed ||
        b.size - a.size ||
        a.due - b.due ||
        a.job.seenAt - b.job.seenAt ||
        (a.job.spec.id < b.job.spec.id ? -1 : 1),
    );
    return keyed.map((entry) => entry.job);
  }

  run(): void {
    if (!this.context.lease.valid()) return;
    const servers = this.candidates();
    for (const job of this.waiting()) {
      let left = this.place(job, servers);
      while (left === "more") left = this.place(job, servers);
      if (left !== null && left !== "limit" && job.spec.shape !== "gang") this.preempt(left, servers);
    }
  }

  /** Places a job's waiting tasks. The first one for which there is no room, if any, comes back. */
  private place(job: Job, servers: readonly Candidate[]): Task | "more" | "limit" | null {
    const { block, clock, options } = this.context;
    const { spec } = job;
    const now = clock.now();
    const usable = servers.filter(({ machine }) => allows(spec, machine.typeName, machine.zone, machine.spot));
    // Not where it has just failed, if there is anywhere else: a faulty machine is often the fullest one.
    const others = usable.filter(({ machine }) => !machine.failures.has(spec.id));
    const allowed = others.some((server) => fits(spec.demand, server.free)) ? others : usable;
    const counts = zoneCounts(job);
    if (spec.oneZone && job.placed.size === 0) {
      const zone = this.roomiest(job, allowed);
      if (zone === null) return [...job.waiting][0] ?? null;
      counts.set(zone, 0);
      const inZone = allowed.filter(({ machine }) => machine.zone === zone);
      allowed.splice(0, allowed.length, ...inZone);
    }
    if (spec.shape === "gang") return this.placeGang(job, allowed, counts);
    const tasks = [...job.waiting].filter((task) => task.notBefore <= now).sort((a, b) => a.index - b.index);
    for (const task of tasks) {
      if (!block.withinLimit(spec)) return "limit";
      const inZones = allowed.filter(({ machine }) => zoneAllowed(spec, counts, machine.zone));
      const server = this.pick(spec, inZones, options.kappa);
      if (server === null) return task;
      assign(spec, server);
      counts.set(server.machine.zone, (counts.get(server.machine.zone) ?? 0) + 1);
      this.put(task, server);
    }
    return job.waiting.size === 0 && block.openRange(job) ? "more" : null;
  }

  private put(task: Task, server: Candidate): void {
    this.context.block.occupy(task, server.machine);
    task.want = { kind: "placed", attempt: attemptOf(task.want) + 1, machine: server.name };
    this.recorder.mark(task.range);
  }

  /** All of a gang's open tasks in this round, or none. */
  private placeGang(job: Job, servers: readonly Candidate[], counts: Map<string, number>): Task | "limit" | null {
    const { block, clock, options } = this.context;
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
    const before = servers.map((server) => ({
      server,
      free: server.free,
      busy: server.busy,
      had: server.images.has(spec.image),
    }));
    const chosen: Candidate[] = [];
    for (const task of tasks) {
      const inZones = servers.filter(({ machine }) => zoneAllowed(spec, counts, machine.zone));
      const server = this.pick(spec, inZones, options.kappa);
      if (server === null) {
        for (const { server: touched, free, busy, had } of before) {
          touched.free = free;
          touched.busy = busy;
          if (!had) touched.images.delete(spec.image);
        }
        return task;
      }
      assign(spec, server);
      counts.set(server.machine.zone, (counts.get(server.machine.zone) ?? 0) + 1);
      chosen.push(server);
    }
    tasks.forEach((task, at) => {
      const server = chosen[at];
      if (server !== undefined) this.put(task, server);
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
   * Work that may use spot machines goes there while one fits: the paper leaves the choice of S_i to the
   * operator, and ordinary room is dearer and the only room for the rest.
   */
  private pick(spec: JobSpec, servers: readonly Candidate[], kappa: number): Candidate | null {
    const broad = this.broadZones();
    const inBroad = servers.filter(({ machine }) => broad.has(machine.zone));
    for (const sets of spec.spot ? [inBroad, servers] : []) {
      const spot = sets.filter(({ machine }) => machine.spot);
      const server = spot.length > 0 ? choose(spec, spot, kappa) : null;
      if (server !== null) return server;
    }
    // Machines that run replicas stay for long; filling those first lets the others empty and go back.
    const staying = inBroad.filter(({ machine }) => hostsService(machine));
    for (const set of [staying, inBroad]) {
      const server = set.length > 0 ? choose(spec, set, kappa) : null;
      if (server !== null) return server;
    }
    return choose(spec, servers, kappa);
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

  private roomiest(job: Job, servers: readonly Candidate[]): string | null {
    const room = new Map<string, number>();
    for (const server of servers) {
      let free = server.free;
      let count = 0;
      for (; fits(job.spec.demand, free) && count < job.spec.tasks; count += 1) free = minus(free, job.spec.demand);
      room.set(server.machine.zone, (room.get(server.machine.zone) ?? 0) + count);
    }
    const best = [...room].sort((a, b) => b[1] - a[1])[0];
    return best === undefined || best[1] === 0 ? null : best[0];
  }

  /** Stops the cheapest set of tasks on one machine that makes room for the task, where the rules allow it. */
  private preempt(task: Task, servers: readonly Candidate[]): void {
    const { clock, log } = this.context;
    const { spec } = task.job;
    const now = clock.now();
    if (task.preemptAfter > now) return;
    const counts = zoneCounts(task.job);
    let best: { victims: Task[]; cost: number; server: Candidate } | null = null;
    for (const server of servers) {
      const { machine } = server;
      if (!allows(spec, machine.typeName, machine.zone, machine.spot)) continue;
      if (!zoneAllowed(spec, counts, machine.zone)) continue;
      const victims: Task[] = [];
      let free = server.free;
      let cost = 0;
      const ran = (victim: Task): number => (victim.runningSince === null ? 0 : now - victim.runningSince);
      const order = [...machine.tasks]
        .filter((victim) => this.mayStop(task, victim) || this.movable(task, victim, servers))
        .sort((a, b) => rankOf(b.job.spec) - rankOf(a.job.spec) || ran(a) - ran(b));
      for (const victim of order) {
        if (fits(spec.demand, free)) break;
        victims.push(victim);
        free = plus(free, victim.job.spec.demand);
        cost += ran(victim) + seconds(1);
      }
      if (victims.length > 0 && fits(spec.demand, free) && (best === null || cost < best.cost)) {
        best = { victims, cost, server };
      }
    }
    if (best === null) return;
    task.preemptAfter = (now + PREEMPT_PAUSE) as Micros;
    log.info("preempting", { task: task.name, machine: best.server.name, victims: best.victims.map((v) => v.name) });
    for (const victim of best.victims) {
      const { checkpointS, saveS } = victim.job.spec;
      victim.stop = { graceS: checkpointS > 0 ? Math.ceil(saveS) : 0 };
      // Its own team is now short of its guarantee, too; without a pause it would be back before the other.
      const pause = this.movable(task, victim, servers) ? MOVE_PAUSE : PREEMPT_PAUSE;
      victim.notBefore = (now + pause) as Micros;
    }
    // Their room is spoken for: nothing else of this round is to count on it.
    best.server.free = minus(best.server.free, best.server.free);
    this.context.wakeCommands(best.server.machine);
  }

  /**
   * A replica that could as well run in another zone, with room for it there now, makes way for one of a spread
   * job that cannot: it is moved, which takes seconds, where the other would wait for ever.
   */
  private movable(task: Task, victim: Task, servers: readonly Candidate[]): boolean {
    const { spec } = victim.job;
    if (!task.job.spec.spread || spec.shape !== "service" || victim.job === task.job) return false;
    if (victim.stop !== null || victim.launch.kind !== "seen" || rankOf(spec) < rankOf(task.job.spec)) return false;
    const here = victim.on?.zone ?? "";
    const counts = zoneCounts(victim.job);
    return servers.some(
      ({ machine, free }) =>
        machine.zone !== here &&
        allows(spec, machine.typeName, machine.zone, machine.spot) &&
        zoneAllowed(spec, counts, machine.zone) &&
        fits(spec.demand, free),
    );
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
