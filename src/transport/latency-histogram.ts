/** A histogram of durations for the log, whose library is not loaded before a process has started. */
import type { Histogram } from "hdr-histogram-js";
import { type Clock, seconds } from "./clock.js";
import { describeError, type Log } from "./log.js";

/** The first rush after a start is over by then; the library takes as long to load as a tenth of a start. */
const LOAD_DELAY = seconds(20);
const SIGNIFICANT_DIGITS = 2;

type HistogramLibrary = typeof import("hdr-histogram-js");

/** Makes histograms of durations; those recorded before the library is there are not counted. */
export class LatencyHistograms {
  private library: HistogramLibrary | null = null;

  /** Loads the library after a delay. */
  constructor(clock: Clock, log: Log) {
    clock.after(LOAD_DELAY, () => {
      import("hdr-histogram-js").then(
        (module) => {
          this.library = module;
        },
        (error: unknown) => log.error("no histograms", { error: describeError(error) }),
      );
    });
  }

  /** A histogram of whole numbers from 1 to `highest`, whatever their unit; null while the library is not there. */
  create(highest: number): LatencyHistogram | null {
    if (this.library === null) return null;
    return new LatencyHistogram(
      highest,
      this.library.build({ highestTrackableValue: highest, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS }),
    );
  }
}

/** Durations recorded since the last reset. */
export class LatencyHistogram {
  constructor(
    private readonly highest: number,
    private readonly histogram: Histogram,
  ) {}

  /** Counts the duration, as 1 or as the highest value where it is beyond these. */
  record(duration: number): void {
    this.histogram.recordValue(Math.min(this.highest, Math.max(1, Math.ceil(duration))));
  }

  get count(): number {
    return this.histogram.totalCount;
  }

  get max(): number {
    return this.histogram.maxValue;
  }

  /** The duration that this percentage of all does not exceed; 0 where none was recorded. */
  percentile(percentage: number): number {
    return this.histogram.getValueAtPercentile(percentage);
  }

  reset(): void {
    this.histogram.reset();
  }
}
