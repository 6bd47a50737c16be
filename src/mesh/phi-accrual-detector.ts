/**
 * Accrual failure detection (Hayashibara et al., "The phi accrual failure detector", SRDS 2004). Times are in
 * microseconds of this process's steady clock.
 */
import { cumulativeStdNormalProbability, mean, standardDeviation } from "simple-statistics";

/** Latest intervals between heartbeats that are kept. */
const MAX_INTERVALS = 50;
/** With fewer intervals the expected one stands for their mean. */
const MIN_INTERVALS = 4;
/** An interval counts as at most so many expected ones: a silence that is over says nothing of regularity otherwise. */
const MAX_INTERVAL_FACTOR = 4;
/** Least standard deviation, as a share of the expected interval: heartbeats also wait for a busy processor. */
const MIN_DEVIATION_SHARE = 0.5;
/** Above so many standard deviations the tail of the distribution is approximated. */
const MAX_TABLE_Z = 3;

/**
 * How surprising the present silence of a peer is, given how regularly its heartbeats came before: a phi of 1 is
 * exceeded by one in ten such silences of a healthy peer, a phi of 8 by one in a hundred million.
 */
export class PhiAccrualDetector {
  private readonly intervals: number[] = [];
  private lastHeartbeatAt: number | null = null;

  constructor(private readonly expectedIntervalUs: number) {}

  /** A heartbeat has come at `now`. */
  recordHeartbeat(now: number): void {
    if (this.lastHeartbeatAt !== null) {
      const interval = now - this.lastHeartbeatAt;
      this.intervals.push(Math.min(interval, this.expectedIntervalUs * MAX_INTERVAL_FACTOR));
      if (this.intervals.length > MAX_INTERVALS) this.intervals.shift();
    }
    this.lastHeartbeatAt = now;
  }

  /** Forgets all heartbeats: those of an earlier connection say nothing of a new one. */
  reset(): void {
    this.intervals.length = 0;
    this.lastHeartbeatAt = null;
  }

  /** Suspicion at `now`; infinite before the first heartbeat. */
  phi(now: number): number {
    if (this.lastHeartbeatAt === null) return Number.POSITIVE_INFINITY;
    const enoughIntervals = this.intervals.length >= MIN_INTERVALS;
    const expected = enoughIntervals ? mean(this.intervals) : this.expectedIntervalUs;
    const observedDeviation = enoughIntervals ? standardDeviation(this.intervals) : 0;
    const deviation = Math.max(observedDeviation, this.expectedIntervalUs * MIN_DEVIATION_SHARE);
    const zScore = (now - this.lastHeartbeatAt - expected) / deviation;
    if (zScore < MAX_TABLE_Z) return -Math.log10(1 - cumulativeStdNormalProbability(zScore));
    // The library's table ends at 3.09, beyond which phi would not grow any further.
    return (zScore * zScore * Math.LOG10E) / 2 + Math.log10(zScore * Math.sqrt(2 * Math.PI));
  }
}
