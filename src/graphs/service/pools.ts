import type { DagRun } from "../run/dag-run.js";
import type { LiveRun } from "./live-run.js";

/** Slots of the configured pools, shared by all runs of a shard. */
export class Pools {
  private readonly used = new Map<string, number>();
  /** By pool without a free slot: the runs with a ready step for it, first come first served. */
  private readonly queues = new Map<string, Set<LiveRun>>();

  /** `onFreeSlot` is called with a waiting run when a slot may be free for it. */
  constructor(
    private readonly slots: Readonly<Record<string, number>>,
    private readonly onFreeSlot: (run: LiveRun) => void,
  ) {}

  hasFreeSlot(pool: string): boolean {
    return (this.used.get(pool) ?? 0) < (this.slots[pool] ?? 0);
  }

  /** Occupies a slot of the step's pool, if it has a pool, until `release`. */
  acquire(run: LiveRun, step: number): void {
    const pool = run.engine?.plan.steps[step]?.pool;
    if (pool === null || pool === undefined || run.poolSlots.has(step)) return;
    run.poolSlots.set(step, pool);
    this.used.set(pool, (this.used.get(pool) ?? 0) + 1);
  }

  release(run: LiveRun, step: number): void {
    const pool = run.poolSlots.get(step);
    if (pool === undefined) return;
    run.poolSlots.delete(step);
    this.used.set(pool, (this.used.get(pool) ?? 1) - 1);
    this.offer(pool);
  }

  /** Releases all slots of a run that has ended or is reloaded, and removes it from the queues. */
  releaseAll(run: LiveRun): void {
    for (const queue of this.queues.values()) queue.delete(run);
    for (const step of [...run.poolSlots.keys()]) this.release(run, step);
  }

  /** Queues the run for those pools of its ready steps that have no free slot. */
  enqueue(run: LiveRun, engine: DagRun): void {
    for (const pool of engine.readyPools()) {
      if (pool === "" || this.hasFreeSlot(pool)) continue;
      const queue = this.queues.get(pool) ?? new Set();
      queue.add(run);
      this.queues.set(pool, queue);
    }
  }

  /** Offers free slots again that the runs they were offered to did not use. */
  offerAll(): void {
    for (const pool of [...this.queues.keys()]) this.offer(pool);
  }

  /** Offers a free slot to the first queued run that still has a ready step. */
  private offer(pool: string): void {
    const queue = this.queues.get(pool);
    if (queue === undefined || !this.hasFreeSlot(pool)) return;
    for (const run of queue) {
      queue.delete(run);
      if (run.engine?.hasReady !== true) continue;
      this.onFreeSlot(run);
      break;
    }
    if (queue.size === 0) this.queues.delete(pool);
  }
}
