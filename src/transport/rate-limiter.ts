/** Client-side rate limiter that lowers its rate when the server refuses requests. */
import { type Clock, MICROS_PER_SECOND, type Micros } from "./clock.js";

/** Factor by which a refusal lowers the current rate. */
const RATE_SHARE_AFTER_REFUSAL = 0.6;
/** Lower bound of the rate, as a share of the full rate. */
const MIN_RATE_SHARE = 0.1;
/** Share of the full rate that the rate regains each second. */
const RECOVERY_PER_SECOND = 0.08;

/**
 * Token bucket that holds at most the tokens of one second. The server's limit is shared with other processes, so the
 * rate drops on a refusal and recovers slowly: without that, all processes kept sending batches that the rest of the
 * shared budget could never admit.
 */
export class RateLimiter {
  private tokens: number;
  private refilledAt: Micros;
  private rate: number;
  private suspendedUntil = 0;

  /** `fullRate`: in tokens per second. */
  constructor(
    private readonly clock: Clock,
    private readonly fullRate: number,
  ) {
    this.tokens = fullRate;
    this.rate = fullRate;
    this.refilledAt = clock.now();
  }

  /** The current rate, in tokens per second. */
  get currentRate(): number {
    return this.rate;
  }

  /** Tokens available now; 0 while suspended, negative if `take` has overdrawn the bucket. */
  available(): number {
    this.refill();
    return this.suspendedUntil > this.refilledAt ? 0 : this.tokens;
  }

  /** Microseconds until `count` tokens may be taken; 0 if they are available now. */
  timeUntilAvailable(count: number): Micros {
    this.refill();
    // A count larger than the bucket's capacity is admitted once the bucket is full.
    const missing = Math.min(count, this.rate) - this.tokens;
    const refillTime = missing <= 0 ? 0 : Math.ceil((missing * MICROS_PER_SECOND) / this.rate);
    return Math.max(refillTime, this.suspendedUntil - this.refilledAt, 0) as Micros;
  }

  /** Takes `count` tokens, which may make the balance negative. */
  take(count: number): void {
    this.tokens -= count;
  }

  /**
   * Called when the server refused a request because other clients have used up the shared limit: suspends for `delay`,
   * and lowers the rate unless already suspended.
   */
  backOff(delay: Micros): void {
    if (this.clock.now() >= this.suspendedUntil) {
      this.rate = Math.max(this.fullRate * MIN_RATE_SHARE, this.rate * RATE_SHARE_AFTER_REFUSAL);
    }
    this.tokens = Math.min(this.tokens, 0);
    this.suspend(delay);
  }

  /** Admits nothing for `delay`; the rate stays unchanged. */
  suspend(delay: Micros): void {
    this.suspendedUntil = Math.max(this.suspendedUntil, this.clock.now() + delay);
  }

  private refill(): void {
    const now = this.clock.now();
    const elapsedSeconds = (now - this.refilledAt) / MICROS_PER_SECOND;
    this.refilledAt = now;
    this.rate = Math.min(this.fullRate, this.rate + elapsedSeconds * RECOVERY_PER_SECOND * this.fullRate);
    this.tokens = Math.min(this.rate, this.tokens + elapsedSeconds * this.rate);
  }
}
