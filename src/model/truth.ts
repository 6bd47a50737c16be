/** What a worker fetches of a job, and how its tasks behave. Amounts as on the wire, times in microseconds. */
export interface Behaviour {
  readonly cpus: number;
  readonly gpus: number;
  readonly ramGb: number;
  readonly bundle: string;
  readonly sizeGb: number;
  /** Time that a task runs on an ordinary machine; null: until it is stopped. */
  readonly runUs: number | null;
  /** By task, where tasks differ; the others take `runUs`. */
  readonly runsUs?: ReadonlyMap<number, number>;
  /** Progress is kept every so often; 0: never. */
  readonly saveEveryUs: number;
  readonly saveTakesUs: number;
  readonly failsAlways: boolean;
  /** Tasks that must be together, for a gang; else 0. */
  readonly gang: number;
}

export interface Member {
  readonly start: () => void;
  readonly abandon: () => void;
}

/** What outlives every machine: results, progress saved outside, and who of which gang is where. */
export class Truth {
  readonly behaviours = new Map<string, Behaviour>();
  /** Where jobs come from elsewhere, too: asked for what nobody here has submitted. */
  lookUp: (job: string) => Behaviour | null = () => null;
  readonly gangs = new Map<string, Map<string, Member>>();
  private readonly finished = new Map<string, Set<string>>();
  private readonly saved = new Map<string, number>();

  behaviour(job: string): Behaviour | undefined {
    const known = this.behaviours.get(job);
    if (known !== undefined) return known;
    const found = this.lookUp(job);
    if (found !== null) this.behaviours.set(job, found);
    return found ?? undefined;
  }

  isDone(task: string): boolean {
    return this.finished.get(jobOf(task))?.has(task) === true;
  }

  done(task: string): void {
    const known = this.finished.get(jobOf(task));
    if (known === undefined) this.finished.set(jobOf(task), new Set([task]));
    else known.add(task);
    this.saved.delete(task);
  }

  doneOf(job: string): ReadonlySet<string> {
    return this.finished.get(job) ?? new Set();
  }

  /** The job has ended, and nothing of it can start again. */
  drop(job: string): void {
    this.finished.delete(job);
    this.gangs.delete(job);
  }

  progress(task: string): number {
    return this.saved.get(task) ?? 0;
  }

  save(task: string, progressUs: number): void {
    this.saved.set(task, progressUs);
  }
}

export const jobOf = (task: string): string => task.slice(0, task.lastIndexOf("/"));
