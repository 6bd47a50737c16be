/**
 * Rate limiting of the requests that one process sends to the key-value store.
 * @module
 */
import { type Clock, ms, sleep } from "../transport/clock.js";
import { RateLimiter } from "../transport/rate-limiter.js";

/**
 * Pause after a "too many requests" response, in milliseconds: the minimum, and the width of the random jitter added to
 * it.
 */
const MIN_PAUSE_MS = 50;
const PAUSE_SPREAD_MS = 150;

/** Limits the request rate of one process, and lowers it when the key-value store rejects requests as too many. */
export class RequestPacer {
  private readonly limit: RateLimiter;

  /** `requestsPerS`: requests per second. `random`: returns a number from 0 up to 1 exclusive. */
  constructor(
    private readonly clock: Clock,
    requestsPerS: number,
    private readonly random: () => number,
  ) {
    this.limit = new RateLimiter(clock, requestsPerS);
  }

  /** Resolves once the budget allows a request, and counts that request against it. */
  async acquire(): Promise<void> {
    for (let wait = this.limit.timeUntilAvailable(1); wait > 0; wait = this.limit.timeUntilAvailable(1))
      await sleep(this.clock, wait);
    this.limit.take(1);
  }

  /** Counts a request that is sent without waiting; waiting requests are delayed accordingly. */
  countUnpaced(): void {
    this.limit.take(1);
  }

  /**
   * Backs off after the key-value store has rejected a request as one too many: pauses for 50 to 200 ms and then
   * continues at a lower rate.
   */
  recordTooManyRequests(): void {
    this.limit.backOff(ms(MIN_PAUSE_MS + PAUSE_SPREAD_MS * this.random()));
  }
}
