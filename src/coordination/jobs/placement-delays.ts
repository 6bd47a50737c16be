/**
 * Statistics of the delay from placements to their confirmed records.
 * @module
 */
import type { Micros } from "../../transport/clock.js";

const MICROS_PER_MS = 1_000;

/** Delays of one reporting period, in the form in which they are logged. */
export interface PlacementDelaySummary {
  /** Writes that recorded at least one placement. */
  readonly placements: number;
  /** In milliseconds; 0 if there were none. */
  readonly meanMs: number;
  readonly mostMs: number;
}

/** Collects the delays between the decision on a placement and its confirmation by the key-value store. */
export class PlacementDelays {
  private count = 0;
  private sum = 0;
  private longest = 0;

  /** Adds one delay. */
  record(delay: Micros): void {
    this.count += 1;
    this.sum += delay;
    this.longest = Math.max(this.longest, delay);
  }

  /** Returns the statistics since the last call, and resets them. */
  take(): PlacementDelaySummary {
    const summary = {
      placements: this.count,
      meanMs: this.count === 0 ? 0 : Math.round(this.sum / this.count / MICROS_PER_MS),
      mostMs: Math.round(this.longest / MICROS_PER_MS),
    };
    this.count = 0;
    this.sum = 0;
    this.longest = 0;
    return summary;
  }
}
