/** Latency histograms for the log. Their library is loaded some time after the start of the process. */
import type { Histogram } from "hdr-histogram-js";
import { type Clock, seconds } from "./clock.js";
import { describeError, type Log } from "./log.js";

/** Loading the library takes a tenth of the start-up time, so it waits until the load peak after a start is over. */
const LOAD_DELAY = seconds(20);
const SIGNIFICANT_DIGITS = 2;

type HistogramLibrary = typeof import("hdr-histogram-js");

/** Creates latency histograms once their library is loaded; earlier durations are not recorded. */
export class LatencyHistograms {
  private library: HistogramLibrary | null = null;

  /** Loads the library after `LOAD_DELAY`. If that fails, an error is logged and `create` keeps returning null. */
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

  /** A histogram of whole numbers from 1 to `highest` in any unit; null while the library is not loaded. */
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

  /** Records a duration, rounded up and clamped to the range from 1 to `highest`. */
  record(duration: number): void {
    this.histogram.recordValue(Math.min(this.highest, Math.max(1, Math.ceil(duration))));
  }

  get count(): number {
    return this.histogram.totalCount;
  }

  get max(): number {
    return this.histogram.maxValue;
  }

  /** Duration at this percentile (0 to 100); 0 if no durations were recorded. */
  percentile(percentage: number): number {
    return this.histogram.getValueAtPercentile(percentage);
  }

  reset(): void {
    this.histogram.reset();
  }
}
