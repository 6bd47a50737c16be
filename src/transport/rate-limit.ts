import type { Clock, Micros } from "./clock.js";

/** Token bucket holding up to one second's worth. */
export class RateLimit {
  private tokens: number;
  private last: Micros;
  private pausedUntil = 0;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
  ) {
    this.tokens = perSecond;
    this.last = clock.now();
  }

  /** Microseconds until `count` may be taken; 0 now. */
  waitFor(count: number): Micros {
    const now = this.clock.now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((now - this.last) * this.perSecond) / 1_000_000);
    this.last = now;
    // More than a bucketful is let through once the bucket is full.
    const missing = Math.min(count, this.perSecond) - this.tokens;
    const refill = missing <= 0 ? 0 : Math.ceil((missing * 1_000_000) / this.perSecond);
    return Math.max(refill, this.pausedUntil - now, 0) as Micros;
  }

  take(count: number): void {
    this.tokens -= count;
  }

  /** The other side said that its own limit is passed: somebody else uses the rest of the budget. */
  pause(delay: Micros): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.clock.now() + delay);
  }
}
