/** Client-side rate limit whose rate adapts to refusals of the other side. */
import { type Clock, MICROS_PER_SECOND, type Micros } from "./clock.js";

/** After a refusal this share of the present rate is left. */
const RATE_SHARE_AFTER_REFUSAL = 0.6;
/** The rate never falls below this share of the full one. */
const MIN_RATE_SHARE = 0.1;
/** Share of the full rate that comes back each second. */
const RECOVERY_PER_SECOND = 0.08;

/**
 * Token bucket holding up to one second's worth. The limit on the other side is shared with processes that this
 * one does not see, so the rate falls when the other side refuses and comes back slowly: without that, all of
 * them went on sending batches that the rest of the budget could never admit.
 */
export class RateLimiter {
  private tokens: number;
  private refilledAt: Micros;
  private rate: number;
  private suspendedUntil = 0;

  /** `perSecond`: the full rate. */
  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
  ) {
    this.tokens = perSecond;
    this.rate = perSecond;
    this.refilledAt = clock.now();
  }

  /** What may be taken each second at present. */
  get currentRate(): number {
    return this.rate;
  }

  /** What may be taken at once just now. */
  available(): number {
    this.refill();
    return this.suspendedUntil > this.refilledAt ? 0 : this.tokens;
  }

  /** Microseconds until `count` may be taken; 0 now. */
  timeUntilAvailable(count: number): Micros {
    this.refill();
    // More than a bucketful is let through once the bucket is full.
    const missing = Math.min(count, this.rate) - this.tokens;
    const refillTime = missing <= 0 ? 0 : Math.ceil((missing * MICROS_PER_SECOND) / this.rate);
    return Math.max(refillTime, this.suspendedUntil - this.refilledAt, 0) as Micros;
  }

  /** Takes `count`, which may leave a debt. */
  take(count: number): void {
    this.tokens -= count;
  }

  /** The other side refused because its own limit is passed, so other clients use the rest: cuts the rate and suspends. */
  backOff(delay: Micros): void {
    if (this.clock.now() >= this.suspendedUntil) {
      this.rate = Math.max(this.perSecond * MIN_RATE_SHARE, this.rate * RATE_SHARE_AFTER_REFUSAL);
    }
    this.tokens = Math.min(this.tokens, 0);
    this.suspend(delay);
  }

  /** Makes nothing available for `delay`, at an unchanged rate. */
  suspend(delay: Micros): void {
    this.suspendedUntil = Math.max(this.suspendedUntil, this.clock.now() + delay);
  }

  private refill(): void {
    const now = this.clock.now();
    const elapsedSeconds = (now - this.refilledAt) / MICROS_PER_SECOND;
    this.refilledAt = now;
    this.rate = Math.min(this.perSecond, this.rate + elapsedSeconds * RECOVERY_PER_SECOND * this.perSecond);
    this.tokens = Math.min(this.rate, this.tokens + elapsedSeconds * this.rate);
  }
}
