import { RateLimiter } from "../transport/rate-limiter.js";
import type { HostClock, World } from "./world.js";

/** One-way network latency in microseconds, as in the full simulation. */
export const HOP = 1_000;
const WRITE_GATHER = 3_000;
const WRITE_TIME = 5_000;

/** A write to the key-value store. `leave` is called when it is sent, `done` when it has been applied. */
export interface Write {
  /** Number of puts and deletes, which are charged to the write budget. */
  readonly count: number;
  readonly leave: () => void;
  readonly done: () => void;
}

/** Models write budget, batching and latency of the key-value store; writes for users have priority. */
export class Writer {
  private readonly queues: readonly [Write[], Write[], Write[]] = [[], [], []];
  private readonly limit: RateLimiter;
  private armed = false;
  /** No writes are sent before this time. */
  pausedUntil = 0;

  constructor(
    private readonly world: World,
    clock: HostClock,
    perSecond: number,
    private readonly most: number,
  ) {
    this.limit = new RateLimiter(clock, perSecond);
  }

  /** Estimated seconds until a user's write proposed now is sent. */
  get backlogS(): number {
    return this.queues[0].length / this.limit.currentRate;
  }

  /** `urgency`: 0 for user requests, 1 for placements and outcomes, 2 for maintenance. */
  propose(urgency: 0 | 1 | 2, write: Write): void {
    this.queues[urgency].push(write);
    this.arm(WRITE_GATHER);
  }

  private arm(delay: number): void {
    if (this.armed) return;
    this.armed = true;
    this.world.after(delay, () => {
      this.armed = false;
      this.flush();
    });
  }

  private flush(): void {
    const pause = this.pausedUntil - this.world.now;
    if (pause > 0) {
      this.arm(pause + HOP);
      return;
    }
    for (;;) {
      const first = this.queues.find((queue) => queue.length > 0)?.[0];
      if (first === undefined) return;
      const wait = this.limit.timeUntilAvailable(first.count);
      if (wait > 0) {
        this.arm(wait);
        return;
      }
      const most = Math.min(this.most, this.limit.available());
      const batch: Write[] = [];
      let count = 0;
      for (const queue of this.queues) {
        for (let write = queue[0]; write !== undefined; write = queue[0]) {
          if (batch.length > 0 && count + write.count > most) break;
          queue.shift();
          batch.push(write);
          count += write.count;
        }
      }
      this.limit.take(count);
      for (const write of batch) write.leave();
      this.world.after(WRITE_TIME, () => {
        for (const write of batch) write.done();
      });
    }
  }
}
