import type { Clock, Micros } from "../transport/clock.js";

export type Lane = "quick" | "slow";

/**
 * Runs one piece of work for each of many items, so many at once. An item that is added again while it waits is run
 * once. After a handover or in a wave there is something to be said to a thousand machines in the same moment, which
 * took all connections that the process may have; and items that are known to be slow get lanes of their own.
 */
export class Lanes<Item> {
  private readonly waiting: Readonly<Record<Lane, Set<Item>>> = { quick: new Set(), slow: new Set() };
  private readonly running: Record<Lane, number> = { quick: 0, slow: 0 };
  private armed = false;

  constructor(
    private readonly clock: Clock,
    private readonly run: (item: Item) => Promise<void>,
    private readonly laneOf: (item: Item) => Lane,
    private readonly most: Readonly<Record<Lane, number>>,
  ) {}

  add(item: Item): void {
    const lane = this.laneOf(item);
    this.waiting[lane === "quick" ? "slow" : "quick"].delete(item);
    this.waiting[lane].add(item);
    if (this.armed) return;
    // A moment later, so that what one event causes is said together.
    this.armed = true;
    this.clock.after(0 as Micros, () => {
      this.armed = false;
      this.next("quick");
      this.next("slow");
    });
  }

  private next(lane: Lane): void {
    for (const item of this.waiting[lane]) {
      if (this.running[lane] >= this.most[lane]) return;
      this.waiting[lane].delete(item);
      this.running[lane] += 1;
      void this.run(item).then(() => {
        this.running[lane] -= 1;
        this.next(lane);
      });
    }
  }
}
