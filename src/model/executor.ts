import { type Behaviour, type GangMember, type GroundTruth, jobOf } from "./ground-truth.js";
import type { EndCause, HostInfo, MachineObserver } from "./machine-observer.js";
import type { NamedRandom } from "./random.js";
import { S, type Timeline } from "./simulation.js";
import type { TypeSpec } from "./site-spec.js";

/** Gang timeouts, in microseconds. */
export interface GangTimings {
  /** Longest wait of a gang member for the other members to start. */
  readonly gangWaitUs: number;
  /** Time after the loss of a member until the remaining members exit. */
  readonly gangPeerUs: number;
}

/** Dependencies of an executor; the same for the full simulation and the fast model. */
export interface ExecutorEnvironment {
  readonly timeline: Timeline;
  readonly namedRandom: NamedRandom;
  readonly witness: MachineObserver;
  readonly truth: GroundTruth;
  readonly times: GangTimings;
}

/** An attempt of a task on a machine, kept until its exit has been acknowledged. */
export interface RunningTask {
  readonly shard: string;
  readonly try: number;
  phase: "pulling" | "waiting" | "running" | "flushing" | "exited";
  cause: EndCause | null;
  saved: boolean;
  /** Whether the task counts as running on the machine for the observer of the simulation. */
  onMachine: boolean;
  /** Time of the start command. */
  readonly commandedAt: number;
  /** Start of the current run, from which progress is counted; null while not running. */
  runStartedAt: number | null;
  /** Incremented when the task leaves a phase; timers set for an earlier generation have no effect. */
  generation: number;
}

/** An image fetch in progress, shared by all tasks that wait for the image. */
interface ImageFetch {
  readonly waiting: Set<RunningTask>;
}

/** Machines of one type run up to 5% slower or faster than nominal, so two may differ by a tenth. */
const SPEED_SPREAD = 0.05;
const FAILURE_DELAY_US = S / 2;

/** Emulates task execution on one machine: image cache, checkpoints, gang rendezvous, hangs and faults. */
export class Executor {
  private tasks = new Map<string, RunningTask>();
  private hungUntil = 0;
  /** Image cache: sizes in GB by image, least recently used first. */
  private readonly imageCache = new Map<string, number>();
  private readonly fetches = new Map<string, ImageFetch>();
  private readonly speed: number;
  private ended = false;
  private faultyUntil = 0;

  /** `onChange` is called when the state to be reported in the next heartbeat has changed. */
  constructor(
    private readonly environment: ExecutorEnvironment,
    private readonly info: HostInfo,
    private readonly type: TypeSpec,
    private readonly onChange: () => void,
  ) {
    this.speed = environment.namedRandom.between("speed", info.name, 1 - SPEED_SPREAD, 1 + SPEED_SPREAD);
  }

  /** Suspends the machine; events due meanwhile are processed when it resumes. */
  hang(forUs: number): void {
    this.hungUntil = Math.max(this.hungUntil, this.environment.timeline.now + forUs);
  }

  /** Makes the machine faulty: every task that it starts in the next `forUs` microseconds fails. */
  makeFaulty(forUs: number): void {
    this.faultyUntil = Math.max(this.faultyUntil, this.environment.timeline.now + forUs);
  }

  /** Runs the callback now, or when a hanging machine resumes; never once the machine is gone. */
  whenRunning(run: () => void): void {
    if (this.ended) return;
    if (this.hungUntil > this.environment.timeline.now)
      this.environment.timeline.at(this.hungUntil + 1, () => this.whenRunning(run));
    else run();
  }

  /** All attempts, including exited ones until `forget`. */
  list(): Iterable<RunningTask> {
    return this.tasks.values();
  }

  /** Ends the machine with all its tasks. */
  end(): void {
    this.ended = true;
    this.killAll();
  }

  /** Restarts the machine: all tasks and cached images are lost. */
  restart(): void {
    this.killAll();
    this.imageCache.clear();
    this.hungUntil = 0;
  }

  killAll(): void {
    for (const task of this.tasks.values()) this.removeFromMachine(task);
    this.tasks = new Map();
    this.fetches.clear();
  }

  /** Starts an attempt; no effect if the attempt is already known, in any phase. */
  start(shard: string, attempt: number): void {
    const key = `${shard}#${attempt}`;
    if (!this.tasks.has(key)) this.startAttempt(shard, attempt, key);
  }

  /** Stops an attempt. `windDownS`: grace period in seconds for the final checkpoint of a task that supports it. */
  stop(shard: string, attempt: number, windDownS: number): void {
    const known = this.tasks.get(`${shard}#${attempt}`);
    if (known !== undefined && known.phase !== "exited") this.stopTask(known, windDownS);
  }

  /** Drops an exited attempt whose outcome has been acknowledged. */
  forget(shard: string, attempt: number): void {
    const key = `${shard}#${attempt}`;
    if (this.tasks.get(key)?.phase === "exited") this.tasks.delete(key);
  }

  private currentRunUs(task: RunningTask): number {
    return task.runStartedAt === null ? 0 : this.environment.timeline.now - task.runStartedAt;
  }

  private removeFromMachine(task: RunningTask): void {
    const { truth, timeline, times, witness } = this.environment;
    task.generation += 1;
    if (task.onMachine) witness.taskOff(task.shard, this.info);
    task.onMachine = false;
    this.saveProgress(task);
    const gang = truth.gangs.get(jobOf(task.shard));
    if (gang?.delete(task.shard) !== true || truth.isDone(task.shard)) return;
    timeline.after(times.gangPeerUs, () => {
      if (!gang.has(task.shard)) for (const member of [...gang.values()]) member.abort();
    });
  }

  /** Stores progress outside the machine, up to the last periodic checkpoint or, with `includeCurrent`, up to now. */
  private saveProgress(task: RunningTask, includeCurrent = false): void {
    const { truth } = this.environment;
    const intervalUs = truth.behaviour(jobOf(task.shard))?.saveEveryUs ?? 0;
    if (intervalUs <= 0 || task.runStartedAt === null || task.phase === "exited" || truth.isDone(task.shard)) return;
    const progress = truth.progress(task.shard) + this.currentRunUs(task) * this.speed;
    truth.save(task.shard, includeCurrent ? progress : Math.floor(progress / intervalUs) * intervalUs);
  }

  private exit(task: RunningTask, cause: EndCause, saved = false): void {
    const ranUs = this.currentRunUs(task);
    this.removeFromMachine(task);
    task.phase = "exited";
    task.cause = cause;
    task.saved = saved;
    this.environment.witness.taskEnded(task.shard, this.info, cause, ranUs);
    this.onChange();
  }

  private stopTask(task: RunningTask, windDownS: number): void {
    const behaviour = this.environment.truth.behaviour(jobOf(task.shard));
    const canCheckpoint = task.phase === "running" && behaviour !== undefined && behaviour.saveEveryUs > 0;
    if (!canCheckpoint || windDownS * S < behaviour.saveTakesUs) {
      if (task.phase !== "flushing" || windDownS === 0) this.exit(task, "halted");
      return;
    }
    this.saveProgress(task, true);
    task.phase = "flushing";
    task.generation += 1;
    const { generation } = task;
    this.environment.timeline.after(behaviour.saveTakesUs, () =>
      this.whenRunning(() => {
        if (task.generation !== generation) return;
        task.runStartedAt = null;
        this.exit(task, "halted", true);
      }),
    );
    this.onChange();
  }

  private fits(behaviour: Behaviour, active: readonly RunningTask[]): boolean {
    let { cpus, gpus, ramGb } = behaviour;
    for (const { shard } of active) {
      const other = this.environment.truth.behaviour(jobOf(shard));
      cpus += other?.cpus ?? 0;
      gpus += other?.gpus ?? 0;
      ramGb += other?.ramGb ?? 0;
    }
    const slack = 1e-6;
    return cpus <= this.type.cpus + slack && gpus <= this.type.gpus + slack && ramGb <= this.type.ramGb + slack;
  }

  private startAttempt(shard: string, attempt: number, key: string): void {
    const behaviour = this.environment.truth.behaviour(jobOf(shard));
    const task: RunningTask = {
      shard,
      try: attempt,
      phase: "pulling",
      cause: null,
      saved: false,
      onMachine: false,
      commandedAt: this.environment.timeline.now,
      runStartedAt: null,
      generation: 0,
    };
    const active = [...this.tasks.values()].filter((other) => other.phase !== "exited");
    this.tasks.set(key, task);
    this.onChange();
    if (behaviour === undefined) this.exit(task, "no_such");
    else if (active.some((other) => other.shard === shard)) this.exit(task, "in_use");
    else if (!this.fits(behaviour, active)) this.exit(task, "full");
    else this.fetchImage(task, behaviour);
  }

  private fetchImage(task: RunningTask, behaviour: Behaviour): void {
    const { timeline, namedRandom } = this.environment;
    const { bundle, sizeGb } = behaviour;
    const { generation } = task;
    // Tasks of several jobs may wait for the same image.
    const ready = (other: RunningTask): void =>
      this.whenRunning(() => {
        const own = this.environment.truth.behaviour(jobOf(other.shard));
        if (own !== undefined && other.generation === 0 && other.phase === "pulling") this.enterMachine(other, own);
      });
    if (this.imageCache.has(bundle)) {
      timeline.after(1_000, () => {
        if (task.generation === generation) ready(task);
      });
      return;
    }
    const inProgress = this.fetches.get(bundle);
    if (inProgress !== undefined) {
      inProgress.waiting.add(task);
      return;
    }
    const fetch: ImageFetch = { waiting: new Set([task]) };
    this.fetches.set(bundle, fetch);
    const fetchTimeFactor = namedRandom.between("fetch", `${this.info.name}/${bundle}`, 0.7, 1.3);
    timeline.after((sizeGb / this.type.fetchGbPerS) * S * fetchTimeFactor, () =>
      this.whenRunning(() => {
        if (this.fetches.get(bundle) === fetch) this.fetches.delete(bundle);
        const wanted = [...fetch.waiting].filter((other) => other.phase === "pulling");
        // An image for which no task waits any more is discarded.
        if (wanted.length > 0) this.cacheImage(bundle, sizeGb);
        for (const other of wanted) ready(other);
      }),
    );
  }

  /** Puts an image into the cache; evicts the least recently used images that no active task uses if it is full. */
  private cacheImage(bundle: string, sizeGb: number): void {
    this.imageCache.delete(bundle);
    this.imageCache.set(bundle, sizeGb);
    let sum = 0;
    for (const size of this.imageCache.values()) sum += size;
    const used = new Set<string>();
    for (const { shard, phase } of this.tasks.values()) {
      const other = this.environment.truth.behaviour(jobOf(shard));
      if (phase !== "exited" && other !== undefined) used.add(other.bundle);
    }
    for (const [name, size] of this.imageCache) {
      if (sum <= this.type.cacheGb) return;
      if (used.has(name)) continue;
      this.imageCache.delete(name);
      sum -= size;
    }
  }

  private enterMachine(task: RunningTask, behaviour: Behaviour): void {
    this.cacheImage(behaviour.bundle, behaviour.sizeGb);
    task.phase = "running";
    task.onMachine = true;
    const { timeline, witness } = this.environment;
    witness.taskOn(task.shard, this.info, task.try, timeline.now - task.commandedAt);
    this.onChange();
    if (behaviour.gang > 0) this.joinGang(task, behaviour);
    else this.runTask(task, behaviour);
  }

  private joinGang(task: RunningTask, behaviour: Behaviour): void {
    const { truth, timeline, times } = this.environment;
    const job = jobOf(task.shard);
    const gang = truth.gangs.get(job) ?? new Map<string, GangMember>();
    truth.gangs.set(job, gang);
    const { generation } = task;
    const ifInPhase = (phase: string, run: () => void): void =>
      this.whenRunning(() => {
        if (task.generation === generation && task.phase === phase) run();
      });
    task.phase = "waiting";
    gang.set(task.shard, {
      start: () =>
        ifInPhase("waiting", () => {
          task.phase = "running";
          this.onChange();
          this.runTask(task, behaviour);
        }),
      abort: () => ifInPhase("running", () => this.exit(task, "mates_gone")),
    });
    timeline.after(times.gangWaitUs, () => ifInPhase("waiting", () => this.exit(task, "incomplete")));
    const done = [...truth.doneOf(job)].filter((shard) => !gang.has(shard)).length;
    if (gang.size + done >= behaviour.gang) for (const member of [...gang.values()]) member.start();
  }

  private runTask(task: RunningTask, behaviour: Behaviour): void {
    const { truth, timeline, witness } = this.environment;
    const { generation } = task;
    task.runStartedAt = timeline.now;
    const fails = timeline.now < this.faultyUntil || behaviour.failsAlways;
    if (behaviour.runUs === null && !fails) return;
    const index = Number(task.shard.slice(task.shard.lastIndexOf("/") + 1));
    const fullRunUs = behaviour.runsUs?.get(index) ?? behaviour.runUs ?? 0;
    const remainingUs = Math.max(0, fullRunUs - truth.progress(task.shard)) / this.speed;
    const delayUs = fails ? FAILURE_DELAY_US : truth.isDone(task.shard) ? 1_000 : remainingUs;
    timeline.after(delayUs, () =>
      this.whenRunning(() => {
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
