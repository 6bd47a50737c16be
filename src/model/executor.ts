import type { Luck } from "./random.js";
import type { TypeSpec } from "./site-spec.js";
import { type Behaviour, jobOf, type Member, type Truth } from "./truth.js";
import type { EndCause, HostInfo, Witness } from "./witness.js";
import { S, type Timeline } from "./world.js";

/** Gang timeouts, in microseconds. */
export interface GangTimes {
  /** Longest wait of a gang member for the other members to start. */
  readonly gangWaitUs: number;
  /** Time after the loss of a member until the remaining members exit. */
  readonly gangPeerUs: number;
}

/** Dependencies of an executor; the same for the full simulation and the fast model. */
export interface ExecutorAround {
  readonly timeline: Timeline;
  readonly luck: Luck;
  readonly witness: Witness;
  readonly truth: Truth;
  readonly times: GangTimes;
}

/** An attempt of a task on a machine, kept until its exit has been acknowledged. */
export interface RunningTask {
  readonly shard: string;
  readonly try: number;
  phase: "pulling" | "waiting" | "running" | "flushing" | "exited";
  cause: EndCause | null;
  saved: boolean;
  /** Whether the task counts as running on the machine for the observer of the simulation. */
  on: boolean;
  /** Time of the start command. */
  readonly askedAt: number;
  /** Start of the current run, from which progress is counted; null while not running. */
  begunAt: number | null;
  /** Incremented when the task leaves a phase; timers set for an earlier generation have no effect. */
  generation: number;
}

/** An image fetch in progress, shared by all tasks that wait for the image. */
interface Fetch {
  readonly waiting: Set<RunningTask>;
}

/** Machines of one type run up to 5% slower or faster than nominal, so two may differ by a tenth. */
const SPEED_SPREAD = 0.05;
const FAILS_AFTER = S / 2;

/** Emulates task execution on one machine: image cache, checkpoints, gang rendezvous, hangs and faults. */
export class Executor {
  private tasks = new Map<string, RunningTask>();
  private hungUntil = 0;
  /** Image cache: sizes in GB by image, least recently used first. */
  private readonly images = new Map<string, number>();
  private readonly fetches = new Map<string, Fetch>();
  private readonly speed: number;
  private gone = false;
  /** Whether the machine is faulty, so that every task started on it fails. */
  sick = false;

  /** `changed` is called when the state to be reported in the next heartbeat has changed. */
  constructor(
    private readonly around: ExecutorAround,
    private readonly info: HostInfo,
    private readonly type: TypeSpec,
    private readonly changed: () => void,
  ) {
    this.speed = around.luck.between("speed", info.name, 1 - SPEED_SPREAD, 1 + SPEED_SPREAD);
  }

  /** Suspends the machine; events due meanwhile are processed when it resumes. */
  hang(forUs: number): void {
    this.hungUntil = Math.max(this.hungUntil, this.around.timeline.now + forUs);
  }

  /** Runs the callback now, or when a hanging machine resumes; never once the machine is gone. */
  awake(run: () => void): void {
    if (this.gone) return;
    if (this.hungUntil > this.around.timeline.now) this.around.timeline.at(this.hungUntil + 1, () => this.awake(run));
    else run();
  }

  /** All attempts, including exited ones until `forget`. */
  list(): Iterable<RunningTask> {
    return this.tasks.values();
  }

  /** Ends the machine with all its tasks. */
  end(): void {
    this.gone = true;
    this.killAll();
  }

  /** Restarts the machine: all tasks and cached images are lost. */
  restart(): void {
    this.killAll();
    this.images.clear();
    this.hungUntil = 0;
  }

  killAll(): void {
    for (const task of this.tasks.values()) this.leave(task);
    this.tasks = new Map();
    this.fetches.clear();
  }

  /** Starts an attempt; no effect if the attempt is already known, in any phase. */
  start(shard: string, attempt: number): void {
    const key = `${shard}#${attempt}`;
    if (!this.tasks.has(key)) this.launch(shard, attempt, key);
  }

  /** Stops an attempt. `windDownS`: grace period in seconds for the final checkpoint of a task that supports it. */
  stop(shard: string, attempt: number, windDownS: number): void {
    const known = this.tasks.get(`${shard}#${attempt}`);
    if (known !== undefined && known.phase !== "exited") this.halt(known, windDownS);
  }

  /** Drops an exited attempt whose outcome has been acknowledged. */
  forget(shard: string, attempt: number): void {
    const key = `${shard}#${attempt}`;
    if (this.tasks.get(key)?.phase === "exited") this.tasks.delete(key);
  }

  private ran(task: RunningTask): number {
    return task.begunAt === null ? 0 : this.around.timeline.now - task.begunAt;
  }

  private leave(task: RunningTask): void {
    const { truth, timeline, times, witness } = this.around;
    task.generation += 1;
    if (task.on) witness.taskOff(task.shard, this.info);
    task.on = false;
    this.checkpoint(task);
    const gang = truth.gangs.get(jobOf(task.shard));
    if (gang?.delete(task.shard) !== true || truth.isDone(task.shard)) return;
    timeline.after(times.gangPeerUs, () => {
      if (!gang.has(task.shard)) for (const member of [...gang.values()]) member.abandon();
    });
  }

  /** Stores the progress up to the last periodic checkpoint, or with `all` up to now, outside the machine. */
  private checkpoint(task: RunningTask, all = false): void {
    const { truth } = this.around;
    const every = truth.behaviour(jobOf(task.shard))?.saveEveryUs ?? 0;
    if (every <= 0 || task.begunAt === null || task.phase === "exited" || truth.isDone(task.shard)) return;
    const progress = truth.progress(task.shard) + this.ran(task) * this.speed;
    truth.save(task.shard, all ? progress : Math.floor(progress / every) * every);
  }

  private exit(task: RunningTask, cause: EndCause, saved = false): void {
    const ran = this.ran(task);
    this.leave(task);
    task.phase = "exited";
    task.cause = cause;
    task.saved = saved;
    this.around.witness.taskEnded(task.shard, this.info, cause, ran);
    this.changed();
  }

  private halt(task: RunningTask, windDownS: number): void {
    const behaviour = this.around.truth.behaviour(jobOf(task.shard));
    const can = task.phase === "running" && behaviour !== undefined && behaviour.saveEveryUs > 0;
    if (!can || windDownS * S < behaviour.saveTakesUs) {
      if (task.phase !== "flushing" || windDownS === 0) this.exit(task, "halted");
      return;
    }
    this.checkpoint(task, true);
    task.phase = "flushing";
    task.generation += 1;
    const { generation } = task;
    this.around.timeline.after(behaviour.saveTakesUs, () =>
      this.awake(() => {
        if (task.generation !== generation) return;
        task.begunAt = null;
        this.exit(task, "halted", true);
      }),
    );
    this.changed();
  }

  private fits(behaviour: Behaviour, active: readonly RunningTask[]): boolean {
    let { cpus, gpus, ramGb } = behaviour;
    for (const { shard } of active) {
      const other = this.around.truth.behaviour(jobOf(shard));
      cpus += other?.cpus ?? 0;
      gpus += other?.gpus ?? 0;
      ramGb += other?.ramGb ?? 0;
    }
    const slack = 1e-6;
    return cpus <= this.type.cpus + slack && gpus <= this.type.gpus + slack && ramGb <= this.type.ramGb + slack;
  }

  private launch(shard: string, attempt: number, key: string): void {
    const behaviour = this.around.truth.behaviour(jobOf(shard));
    const task: RunningTask = {
      shard,
      try: attempt,
      phase: "pulling",
      cause: null,
      saved: false,
      on: false,
      askedAt: this.around.timeline.now,
      begunAt: null,
      generation: 0,
    };
    const active = [...this.tasks.values()].filter((other) => other.phase !== "exited");
    this.tasks.set(key, task);
    this.changed();
    if (behaviour === undefined) this.exit(task, "no_such");
    else if (active.some((other) => other.shard === shard)) this.exit(task, "in_use");
    else if (!this.fits(behaviour, active)) this.exit(task, "full");
    else this.pull(task, behaviour);
  }

  private pull(task: RunningTask, behaviour: Behaviour): void {
    const { timeline, luck } = this.around;
    const { bundle, sizeGb } = behaviour;
    const { generation } = task;
    // Tasks of several jobs may wait for the same image.
    const ready = (other: RunningTask): void =>
      this.awake(() => {
        const own = this.around.truth.behaviour(jobOf(other.shard));
        if (own !== undefined && other.generation === 0 && other.phase === "pulling") this.begin(other, own);
      });
    if (this.images.has(bundle)) {
      timeline.after(1_000, () => {
        if (task.generation === generation) ready(task);
      });
      return;
    }
    const under = this.fetches.get(bundle);
    if (under !== undefined) {
      under.waiting.add(task);
      return;
    }
    const fetch: Fetch = { waiting: new Set([task]) };
    this.fetches.set(bundle, fetch);
    const slow = luck.between("fetch", `${this.info.name}/${bundle}`, 0.7, 1.3);
    timeline.after((sizeGb / this.type.fetchGbPerS) * S * slow, () =>
      this.awake(() => {
        if (this.fetches.get(bundle) === fetch) this.fetches.delete(bundle);
        const wanted = [...fetch.waiting].filter((other) => other.phase === "pulling");
        // An image for which no task waits any more is discarded.
        if (wanted.length > 0) this.keep(bundle, sizeGb);
        for (const other of wanted) ready(other);
      }),
    );
  }

  /** Puts an image into the cache; evicts the least recently used images that no active task uses if it is full. */
  private keep(bundle: string, sizeGb: number): void {
    this.images.delete(bundle);
    this.images.set(bundle, sizeGb);
    let sum = 0;
    for (const size of this.images.values()) sum += size;
    const used = new Set<string>();
    for (const { shard, phase } of this.tasks.values()) {
      const other = this.around.truth.behaviour(jobOf(shard));
      if (phase !== "exited" && other !== undefined) used.add(other.bundle);
    }
    for (const [name, size] of this.images) {
      if (sum <= this.type.cacheGb) return;
      if (used.has(name)) continue;
      this.images.delete(name);
      sum -= size;
    }
  }

  private begin(task: RunningTask, behaviour: Behaviour): void {
    this.keep(behaviour.bundle, behaviour.sizeGb);
    task.phase = "running";
    task.on = true;
    const { timeline, witness } = this.around;
    witness.taskOn(task.shard, this.info, task.try, timeline.now - task.askedAt);
    this.changed();
    if (behaviour.gang > 0) this.join(task, behaviour);
    else this.work(task, behaviour);
  }

  private join(task: RunningTask, behaviour: Behaviour): void {
    const { truth, timeline, times } = this.around;
    const job = jobOf(task.shard);
    const gang = truth.gangs.get(job) ?? new Map<string, Member>();
    truth.gangs.set(job, gang);
    const { generation } = task;
    const still = (phase: string, run: () => void): void =>
      this.awake(() => {
        if (task.generation === generation && task.phase === phase) run();
      });
    task.phase = "waiting";
    gang.set(task.shard, {
      start: () =>
        still("waiting", () => {
          task.phase = "running";
          this.changed();
          this.work(task, behaviour);
        }),
      abandon: () => still("running", () => this.exit(task, "mates_gone")),
    });
    timeline.after(times.gangWaitUs, () => still("waiting", () => this.exit(task, "incomplete")));
    const done = [...truth.doneOf(job)].filter((shard) => !gang.has(shard)).length;
    if (gang.size + done >= behaviour.gang) for (const member of [...gang.values()]) member.start();
  }

  private work(task: RunningTask, behaviour: Behaviour): void {
    const { truth, timeline, witness } = this.around;
    const { generation } = task;
    task.begunAt = timeline.now;
    const fails = this.sick || behaviour.failsAlways;
    if (behaviour.runUs === null && !fails) return;
    const index = Number(task.shard.slice(task.shard.lastIndexOf("/") + 1));
    const whole = behaviour.runsUs?.get(index) ?? behaviour.runUs ?? 0;
    const left = Math.max(0, whole - truth.progress(task.shard)) / this.speed;
    const run = fails ? FAILS_AFTER : truth.isDone(task.shard) ? 1_000 : left;
    timeline.after(run, () =>
      this.awake(() => {
        if (task.generation !== generation) return;
        if (!fails) {
          truth.done(task.shard);
          witness.taskDone(task.shard);
        }
        this.exit(task, fails ? "error" : "done");
      }),
    );
  }
}
