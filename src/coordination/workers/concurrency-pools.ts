/** Concurrency limits on requests to workers, with a pool for each class of target. */

import type { Clock, Micros } from "../../transport/clock.js";

/** `responsive`: targets that answer requests. `silent`: targets expected to be slow or to time out. */
export type PoolName = "responsive" | "silent";

/**
 * Runs an asynchronous operation for each added item, with a limit on concurrent runs in each pool. An item that is
 * added again while it is queued runs once. Without the limit, a failover or a burst of task starts sends requests to a
 * thousand machines at once and uses up the connections of the process. Slow items have their own pool so that they do
 * not delay the others.
 */
export class ConcurrencyPools<Item> {
  private readonly waiting: Readonly<Record<PoolName, Set<Item>>> = { responsive: new Set(), silent: new Set() };
  private readonly running: Record<PoolName, number> = { responsive: 0, silent: 0 };
  private startScheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly run: (item: Item) => Promise<void>,
    private readonly poolOf: (item: Item) => PoolName,
    private readonly limits: Readonly<Record<PoolName, number>>,
  ) {}

  /** Queues the item; it runs as soon as its pool is below its limit. */
  add(item: Item): void {
    const pool = this.poolOf(item);
    this.waiting[pool === "responsive" ? "silent" : "responsive"].delete(item);
    this.waiting[pool].add(item);
    if (this.startScheduled) return;
    // Deferred, so that all items added while handling one event are started together.
    this.startScheduled = true;
    this.clock.after(0 as Micros, () => {
      this.startScheduled = false;
      this.startWaiting("responsive");
      this.startWaiting("silent");
    });
  }

  private startWaiting(pool: PoolName): void {
    for (const item of this.waiting[pool]) {
      if (this.running[pool] >= this.limits[pool]) return;
      this.waiting[pool].delete(item);
      this.running[pool] += 1;
      void this.run(item).then(() => {
        this.running[pool] -= 1;
        this.startWaiting(pool);
      });
    }
  }
}
