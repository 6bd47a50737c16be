import type { Clock, Micros } from "../../transport/clock.js";

export type PoolName = "responsive" | "silent";

/**
 * Runs one piece of work for each of many items, so many at once. An item that is added again while it waits is run
 * once. After a handover or in a wave there is something to be said to a thousand machines in the same moment, which
 * took all connections that the process may have; and items that are known to be slow get lanes of their own.
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

  add(item: Item): void {
    const lane = this.poolOf(item);
    this.waiting[lane === "responsive" ? "silent" : "responsive"].delete(item);
    this.waiting[lane].add(item);
    if (this.startScheduled) return;
    // A moment later, so that what one event causes is said together.
    this.startScheduled = true;
    this.clock.after(0 as Micros, () => {
      this.startScheduled = false;
      this.startWaiting("responsive");
      this.startWaiting("silent");
    });
  }

  private startWaiting(lane: PoolName): void {
    for (const item of this.waiting[lane]) {
      if (this.running[lane] >= this.limits[lane]) return;
      this.waiting[lane].delete(item);
      this.running[lane] += 1;
      void this.run(item).then(() => {
        this.running[lane] -= 1;
        this.startWaiting(lane);
      });
    }
  }
}
