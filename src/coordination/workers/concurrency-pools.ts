/** Limits on how many pieces of work run at once, by class of target. */

import type { Clock, Micros } from "../../transport/clock.js";

/** Targets that answer, and targets known to be slow. */
export type PoolName = "responsive" | "silent";

/**
 * Runs one piece of work for each of many items, so many at once. An item that is added again while it waits is run
 * once. After a failover or in a wave of starts a thousand machines are to be sent something in the same moment, which
 * took all connections that the process may have; and items that are known to be slow get a pool of their own.
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

  /** Runs the work for the item once there is room in its pool. */
  add(item: Item): void {
    const pool = this.poolOf(item);
    this.waiting[pool === "responsive" ? "silent" : "responsive"].delete(item);
    this.waiting[pool].add(item);
    if (this.startScheduled) return;
    // A moment later, so that what one event causes is sent together.
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
