/**
 * Coalesces identical requests that several callers make at about the same time.
 * @module
 */
import { type Clock, type Micros, sleep } from "../transport/clock.js";

/**
 * Runs at most one request at a time, on behalf of all callers before it was sent, and at most once in each interval.
 */
export class SharedRequest {
  private inFlight: Promise<boolean> | null = null;
  private queued: Promise<boolean> | null = null;
  private sentAt: Micros = 0 as Micros;

  /**
   * `interval`: minimum time between the starts of two requests. `send`: sends one, and resolves to whether it
   * succeeded.
   */
  constructor(
    private readonly clock: Clock,
    private readonly interval: () => Micros,
    private readonly send: () => Promise<boolean> | boolean,
  ) {}

  /**
   * Resolves to the result of a request that is sent after this call. Calls made while a request is in flight share the
   * next one, since the one in flight may have been sent before the state that they must see.
   */
  request(): Promise<boolean> {
    if (this.queued !== null) return this.queued;
    const previous = this.inFlight ?? Promise.resolve(true);
    const next = previous
      .then(() => this.waitForInterval())
      .then(() => {
        this.sentAt = this.clock.now();
        this.queued = null;
        this.inFlight = next;
        return this.send();
      })
      .finally(() => {
        if (this.inFlight === next) this.inFlight = null;
      });
    this.queued = next;
    return next;
  }

  /** Limits the rate: without this interval, hundreds of polls per second would use up the whole request budget. */
  private waitForInterval(): Promise<void> | undefined {
    const remaining = this.sentAt + this.interval() - this.clock.now();
    return remaining > 0 ? sleep(this.clock, remaining as Micros) : undefined;
  }
}
