/**
 * One request for many callers that want the same at about the same time.
 * @module
 */
import { type Clock, type Micros, sleep } from "../transport/clock.js";

/** Runs one request at a time, for all who asked before it was sent, and no more often than its interval allows. */
export class SharedRequest {
  private inFlight: Promise<boolean> | null = null;
  private queued: Promise<boolean> | null = null;
  private sentAt: Micros = 0 as Micros;

  /** `interval`: from one request to the next, at least. `send`: resolves to whether it succeeded. */
  constructor(
    private readonly clock: Clock,
    private readonly interval: () => Micros,
    private readonly send: () => Promise<boolean> | boolean,
  ) {}

  /**
   * Resolves to the result of a request that is sent after this call. Calls made meanwhile share the next request; the
   * one under way may have been sent too early for them.
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

  /** Hundreds of polls a second share few requests: without a pause they took the whole budget. */
  private waitForInterval(): Promise<void> | undefined {
    const rest = this.sentAt + this.interval() - this.clock.now();
    return rest > 0 ? sleep(this.clock, rest as Micros) : undefined;
  }
}
