import { cumulativeStdNormalProbability, mean, standardDeviation } from "simple-statistics";

const MAX_INTERVALS = 50;
const MIN_INTERVALS = 4;
/** Beats wait for a busy processor as well: never be surer of their regularity than this share of their interval. */
const MIN_DEVIATION_SHARE = 0.5;
const MAX_TABLE_Z = 3;

/**
 * Accrual failure detection (Hayashibara et al., "The phi accrual failure detector", SRDS 2004): how surprising it is
 * that nothing has come for so long, given how regularly it used to come. 1: one in ten such silences is nothing;
 * 8: one in a hundred million. Times in microseconds of the own steady clock.
 */
export class PhiAccrualDetector {
  private readonly intervals: number[] = [];
  private lastHeartbeatAt: number | null = null;

  constructor(private readonly expectedIntervalUs: number) {}

  recordHeartbeat(now: number): void {
    if (this.lastHeartbeatAt !== null) {
      // A silence that is over says nothing of how regularly it comes otherwise.
      this.intervals.push(Math.min(now - this.lastHeartbeatAt, this.expectedIntervalUs * 4));
      if (this.intervals.length > MAX_INTERVALS) this.intervals.shift();
    }
    this.lastHeartbeatAt = now;
  }

  /** The connection is new: what came over the old one says nothing any more. */
  reset(): void {
    this.intervals.length = 0;
    this.lastHeartbeatAt = null;
  }

  phi(now: number): number {
    if (this.lastHeartbeatAt === null) return Number.POSITIVE_INFINITY;
    const enoughIntervals = this.intervals.length >= MIN_INTERVALS;
    const expected = enoughIntervals ? mean(this.intervals) : this.expectedIntervalUs;
    const deviation = Math.max(
      enoughIntervals ? standardDeviation(this.intervals) : 0,
      this.expectedIntervalUs * MIN_DEVIATION_SHARE,
    );
    const z = (now - this.lastHeartbeatAt - expected) / deviation;
    if (z < MAX_TABLE_Z) return -Math.log10(1 - cumulativeStdNormalProbability(z));
    // The library's table ends at 3.09, and beyond it no silence would seem any longer: the tail of the distribution.
    return (z * z * Math.LOG10E) / 2 + Math.log10(z * Math.sqrt(2 * Math.PI));
  }
}
