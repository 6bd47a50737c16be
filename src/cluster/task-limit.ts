/** The limit on the tasks that the leader of a shard holds in memory. */
import type { Job } from "./job.js";

/**
 * Counts the tasks in memory, and decides whether a job may get more of them. Tasks that are not in memory wait in the
 * key-value store as part of their accepted job.
 *
 * Each job may hold as many tasks as are left free (the dynamic thresholds of Choudhury and Hahne, "Dynamic queue
 * length thresholds for shared-memory packet switches", 1998): one large job uses half of the limit, two use a third
 * each, and jobs that come later always find room.
 */
export class TaskLimit {
  private total = 0;

  /** `max`: number of tasks; infinite where memory is not limited. */
  constructor(readonly max: number) {}

  /** Number of tasks in memory. */
  get held(): number {
    return this.total;
  }

  /** Counts tasks of the job that were added to memory, or removed from it (`change` below 0). */
  count(job: Job, change: number): void {
    job.tasksInMemory += change;
    this.total += change;
  }

  /** How many more tasks the job may hold. A gang may use all that is left, since it starts as a whole or not at all. */
  available(job: Job): number {
    const free = Math.max(0, this.max - this.total);
    return job.spec.shape === "gang" ? free : Math.max(0, free - job.tasksInMemory);
  }
}
