/** Resources, image and behaviour of a job's tasks. Amounts in units of the protocol, times in microseconds. */
export interface Behaviour {
  readonly cpus: number;
  readonly gpus: number;
  readonly ramGb: number;
  readonly bundle: string;
  readonly sizeGb: number;
  /** Run time on a machine of nominal speed; null: until stopped. */
  readonly runUs: number | null;
  /** Run time by task index, where it differs from `runUs`. */
  readonly runsUs?: ReadonlyMap<number, number>;
  /** Checkpoint interval; 0: no checkpoints. */
  readonly saveEveryUs: number;
  /** Duration of a checkpoint. */
  readonly saveTakesUs: number;
  readonly failsAlways: boolean;
  /** Number of tasks of a gang; 0 for other jobs. */
  readonly gang: number;
}

/** Callbacks to a gang member: start when the gang is complete, or exit because another member was lost. */
export interface GangMember {
  readonly start: () => void;
  readonly abort: () => void;
}

/** Ground truth that is independent of machines: job behaviour, results, checkpoints and gang membership. */
export class GroundTruth {
  readonly behaviours = new Map<string, Behaviour>();
  /** Fallback for jobs that were not submitted through the emulator. */
  lookUp: (job: string) => Behaviour | null = () => null;
  readonly gangs = new Map<string, Map<string, GangMember>>();
  private readonly doneTasks = new Map<string, Set<string>>();
  private readonly checkpoints = new Map<string, number>();

  behaviour(job: string): Behaviour | undefined {
    const known = this.behaviours.get(job);
    if (known !== undefined) return known;
    const found = this.lookUp(job);
    if (found !== null) this.behaviours.set(job, found);
    return found ?? undefined;
  }

  isDone(task: string): boolean {
    return this.doneTasks.get(jobOf(task))?.has(task) === true;
  }

  done(task: string): void {
    const known = this.doneTasks.get(jobOf(task));
    if (known === undefined) this.doneTasks.set(jobOf(task), new Set([task]));
    else known.add(task);
    this.checkpoints.delete(task);
  }

  doneOf(job: string): ReadonlySet<string> {
    return this.doneTasks.get(job) ?? new Set();
  }

  /** Discards the state of an ended job, none of whose tasks can start again. */
  drop(job: string): void {
    this.doneTasks.delete(job);
    this.gangs.delete(job);
  }

  /** Checkpointed progress in microseconds of run time at nominal speed. */
  progress(task: string): number {
    return this.checkpoints.get(task) ?? 0;
  }

  save(task: string, progressUs: number): void {
    this.checkpoints.set(task, progressUs);
  }
}

/** Job id of a task named "job/index". */
export const jobOf = (task: string): string => task.slice(0, task.lastIndexOf("/"));
