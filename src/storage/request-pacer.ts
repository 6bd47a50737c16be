/**
 * Pacing of the requests that one process sends to the key-value store.
 * @module
 */
import { type Clock, ms, sleep } from "../transport/clock.js";
import { RateLimiter } from "../transport/rate-limiter.js";

/**
 * After a response that says "too many requests" none is sent for this long (milliseconds), and up to the other
 * longer.
 */
const MIN_PAUSE_MS = 50;
const PAUSE_SPREAD_MS = 150;

/** Keeps the requests of one process to a rate, and to less where the key-value store refuses that. */
export class RequestPacer {
  private readonly limit: RateLimiter;

  /** `requestsPerS`: requests a second. `random`: from 0 up to 1 exclusive. */
  constructor(
    private readonly clock: Clock,
    requestsPerS: number,
    private readonly random: () => number,
  ) {
    this.limit = new RateLimiter(clock, requestsPerS);
  }

  /** Resolves when a request may be sent; it is counted then. */
  async waitForTurn(): Promise<void> {
    for (let wait = this.limit.timeUntilAvailable(1); wait > 0; wait = this.limit.timeUntilAvailable(1))
      await sleep(this.clock, wait);
    this.limit.take(1);
  }

  /** Counts a request that is sent at once; those that wait for their turn wait for longer. */
  countUnpaced(): void {
    this.limit.take(1);
  }

  /**
   * The key-value store has refused a request because too many were sent: pauses for 50 to 200 ms, at a lower rate
   * then.
   */
  recordTooManyRequests(): void {
    this.limit.backOff(ms(MIN_PAUSE_MS + PAUSE_SPREAD_MS * this.random()));
  }
}
