/** When a connection that was lost, or did not come about, is opened again. */
import { type Clock, type Micros, ms, seconds, type Timer } from "../transport/clock.js";

const MIN_RECONNECT_DELAY = ms(200);
const MAX_RECONNECT_DELAY = seconds(5);
/** Keeps the power of two below within what a number holds exactly. */
const MAX_DOUBLINGS = 10;

/** Exponential backoff with jitter: 0.2 s, doubled with each failed attempt up to 5 s. */
export class ReconnectTimer {
  private failedAttempts = 0;
  private timer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  /** Calls `connect` after the next delay, in place of what was scheduled before. */
  schedule(connect: () => void): void {
    this.cancel();
    this.failedAttempts += 1;
    const doublings = Math.min(MAX_DOUBLINGS, this.failedAttempts - 1);
    const longest = Math.min(MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY * 2 ** doublings);
    // With jitter, since after a healed partition all would connect in the same moment.
    const delay = (longest * (0.5 + this.random() / 2)) as Micros;
    this.timer = this.clock.after(delay, () => {
      this.timer = null;
      connect();
    });
  }

  /** Drops what is scheduled; failed attempts still count. */
  cancel(): void {
    this.timer?.cancel();
    this.timer = null;
  }

  /** A connection works: the next delay is the shortest again. */
  reset(): void {
    this.failedAttempts = 0;
  }
}
