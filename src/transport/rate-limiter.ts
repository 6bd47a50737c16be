import type { Clock, Micros } from "./clock.js";

/** After a refusal this share of the rate is left, and never less than the other one. */
const CUT = 0.6;
const LEAST = 0.1;
/** Share of the full rate that comes back each second. */
const RECOVERY = 0.08;

/**
 * Token bucket holding up to one second's worth. The limit on the other side is shared with processes that this
 * one does not see, so the rate falls when the other side refuses and comes back slowly: without that, all of
 * them went on sending batches that the rest of the budget could never admit.
 */
export class RateLimiter {
  private tokens: number;
  private last: Micros;
  private rate: number;
  private pausedUntil = 0;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
  ) {
    this.tokens = perSecond;
    this.rate = perSecond;
    this.last = clock.now();
  }

  /** What may be taken each second at present. */
  get currentRate(): number {
    return this.rate;
  }

  /** What may be taken at once just now. */
  available(): number {
    this.refill();
    return this.pausedUntil > this.last ? 0 : this.tokens;
  }

  /** Microseconds until `count` may be taken; 0 now. */
  timeUntilAvailable(count: number): Micros {
    this.refill();
    // More than a bucketful is let through once the bucket is full.
    const missing = Math.min(count, this.rate) - this.tokens;
    const refill = missing <= 0 ? 0 : Math.ceil((missing * 1_000_000) / this.rate);
    return Math.max(refill, this.pausedUntil - this.last, 0) as Micros;
  }

  take(count: number): void {
    this.tokens -= count;
  }

  /** The other side said that its own limit is passed: somebody else uses the rest of the budget. */
  backOff(delay: Micros): void {
    if (this.clock.now() >= this.pausedUntil) this.rate = Math.max(this.perSecond * LEAST, this.rate * CUT);
    this.tokens = Math.min(this.tokens, 0);
    this.suspend(delay);
  }

  /** Nothing more for a moment, at an unchanged rate. */
  suspend(delay: Micros): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.clock.now() + delay);
  }

  private refill(): void {
    const now = this.clock.now();
    const passed = (now - this.last) / 1_000_000;
    this.last = now;
    this.rate = Math.min(this.perSecond, this.rate + passed * RECOVERY * this.perSecond);
    this.tokens = Math.min(this.rate, this.tokens + passed * this.rate);
  }
}
