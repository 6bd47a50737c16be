import type { DagRun } from "../run/dag-run.js";
import type { LiveRun } from "./live-run.js";

/** Slots of the operators' pools, over all runs of a block. */
export class Pools {
  private readonly used = new Map<string, number>();
  /** By pool without a free slot, the runs that have a step for it, in the order in which they asked. */
  private readonly queues = new Map<string, Set<LiveRun>>();

  /** `onSlot`: told of a run that may find a slot now. */
  constructor(
    private readonly slots: Readonly<Record<string, number>>,
    private readonly onSlot: (run: LiveRun) => void,
  ) {}

  hasRoom(pool: string): boolean {
    return (this.used.get(pool) ?? 0) < (this.slots[pool] ?? 0);
  }

  /** The step holds a slot of its pool, if it has one, until it is given back. */
  take(run: LiveRun, step: number): void {
    const pool = run.engine?.plan.steps[step]?.pool;
    if (pool === null || pool === undefined || run.pooled.has(step)) return;
    run.pooled.set(step, pool);
    this.used.set(pool, (this.used.get(pool) ?? 0) + 1);
  }

  giveBack(run: LiveRun, step: number): void {
    const pool = run.pooled.get(step);
    if (pool === undefined) return;
    run.pooled.delete(step);
    this.used.set(pool, (this.used.get(pool) ?? 1) - 1);
    this.offer(pool);
  }

  /** The run has ended, or is read anew. */
  forget(run: LiveRun): void {
    for (const queue of this.queues.values()) queue.delete(run);
    for (const step of [...run.pooled.keys()]) this.giveBack(run, step);
  }

  /** The run has steps for pools that are full now. */
  wait(run: LiveRun, engine: DagRun): void {
    for (const pool of engine.readyPools()) {
      if (pool === "" || this.hasRoom(pool)) continue;
      const queue = this.queues.get(pool) ?? new Set();
      queue.add(run);
      this.queues.set(pool, queue);
    }
  }

  /** Slots that those they were offered to had no use for any more. */
  offerAll(): void {
    for (const pool of [...this.queues.keys()]) this.offer(pool);
  }

  /** A free slot is the first one's in the queue. */
  private offer(pool: string): void {
    const queue = this.queues.get(pool);
    if (queue === undefined || !this.hasRoom(pool)) return;
    for (const run of queue) {
      queue.delete(run);
      if (run.engine?.hasReady !== true) continue;
      this.onSlot(run);
      break;
    }
    if (queue.size === 0) this.queues.delete(pool);
  }
}
