/** The limit on preemptions that no rank demands. */

/** Preemptions that one start allows. */
const PREEMPTIONS_PER_START = 0.05;
/** The budget at first, and what may always be saved up. */
const MIN_SAVED = 16;
/** What may be saved up, as a share of the running tasks. */
const SAVED_SHARE = 0.02;

/**
 * How many more tasks may be stopped for guarantees, or moved: one for every so many starts. Where guarantees, bursts and
 * losses come together, every stop makes work that soon needs another; without this bound more was stopped than ended
 * (the fleet site of 868 machines at twice its size: 38,271 stops among 56,463 starts).
 */
export class PreemptionBudget {
  private remaining = MIN_SAVED;

  /** A task was placed. `runningTasks`: tasks on machines now; what is saved up for a wave grows with them. */
  taskStarted(runningTasks: number): void {
    const maxSaved = Math.max(MIN_SAVED, runningTasks * SAVED_SHARE);
    this.remaining = Math.min(maxSaved, this.remaining + PREEMPTIONS_PER_START);
  }

  /** Takes so many preemptions from the budget; false, and nothing taken, where fewer are left. */
  take(count: number): boolean {
    if (this.remaining < count) return false;
    this.remaining -= count;
    return true;
  }
}
