/** Backoff before a connection that ended, or could not be established, is opened again. */
import { type Clock, type Micros, ms, seconds, type Timer } from "../transport/clock.js";

const MIN_RECONNECT_DELAY = ms(200);
const MAX_RECONNECT_DELAY = seconds(5);
/** Bounds the exponent of the backoff, so that the power of two stays exact. */
const MAX_DOUBLINGS = 10;

/** Exponential backoff with jitter: 0.2 s, doubled after each failed attempt up to 5 s. */
export class ReconnectTimer {
  private failedAttempts = 0;
  private timer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  /** Calls `connect` after the next delay; replaces a call scheduled earlier. */
  schedule(connect: () => void): void {
    this.cancel();
    this.failedAttempts += 1;
    const doublings = Math.min(MAX_DOUBLINGS, this.failedAttempts - 1);
    const maxDelay = Math.min(MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY * 2 ** doublings);
    // Without jitter all controllers would reconnect at the same moment after a partition heals.
    const delay = (maxDelay * (0.5 + this.random() / 2)) as Micros;
    this.timer = this.clock.after(delay, () => {
      this.timer = null;
      connect();
    });
  }

  /** Cancels the scheduled call; the count of failed attempts is kept. */
  cancel(): void {
    this.timer?.cancel();
    this.timer = null;
  }

  /** To be called when a connection works: the next delay is the shortest again. */
  reset(): void {
    this.failedAttempts = 0;
  }
}
