import { RateLimiter } from "../transport/rate-limiter.js";
import type { HostClock, Simulation } from "./simulation.js";

/** One-way network latency in microseconds, as in the full simulation. */
export const NETWORK_LATENCY_US = 1_000;
const BATCH_DELAY_US = 3_000;
const WRITE_LATENCY_US = 5_000;

/** A write to the key-value store. `onSent` is called when it is sent, `onApplied` when it has been applied. */
export interface PendingWrite {
  /** Number of puts and deletes, which are charged to the write budget. */
  readonly count: number;
  readonly onSent: () => void;
  readonly onApplied: () => void;
}

/** Models write budget, batching and latency of the key-value store; writes for users have priority. */
export class WriteQueue {
  private readonly queues: readonly [PendingWrite[], PendingWrite[], PendingWrite[]] = [[], [], []];
  private readonly limit: RateLimiter;
  private flushScheduled = false;
  /** No writes are sent before this time. */
  pausedUntil = 0;

  constructor(
    private readonly world: Simulation,
    clock: HostClock,
    perSecond: number,
    private readonly maxBatchWrites: number,
  ) {
    this.limit = new RateLimiter(clock, perSecond);
  }

  /** Estimated seconds until a user's write proposed now is sent. */
  get backlogS(): number {
    return this.queues[0].length / this.limit.currentRate;
  }

  /** `urgency`: 0 for user requests, 1 for placements and outcomes, 2 for maintenance. */
  propose(urgency: 0 | 1 | 2, write: PendingWrite): void {
    this.queues[urgency].push(write);
    this.scheduleFlush(BATCH_DELAY_US);
  }

  private scheduleFlush(delay: number): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    this.world.after(delay, () => {
      this.flushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    const pause = this.pausedUntil - this.world.now;
    if (pause > 0) {
      this.scheduleFlush(pause + NETWORK_LATENCY_US);
      return;
    }
    for (;;) {
      const first = this.queues.find((queue) => queue.length > 0)?.[0];
      if (first === undefined) return;
      const wait = this.limit.timeUntilAvailable(first.count);
      if (wait > 0) {
        this.scheduleFlush(wait);
        return;
      }
      const maxCount = Math.min(this.maxBatchWrites, this.limit.available());
      const batch: PendingWrite[] = [];
      let count = 0;
      for (const queue of this.queues) {
        for (let write = queue[0]; write !== undefined; write = queue[0]) {
          if (batch.length > 0 && count + write.count > maxCount) break;
          queue.shift();
          batch.push(write);
          count += write.count;
        }
      }
      this.limit.take(count);
      for (const write of batch) write.onSent();
      this.world.after(WRITE_LATENCY_US, () => {
        for (const write of batch) write.onApplied();
      });
    }
  }
}
