/**
 * Accrual failure detection (Hayashibara et al., "The phi accrual failure detector", SRDS 2004). Times are in
 * microseconds of this process's monotonic clock.
 */
import { cumulativeStdNormalProbability, mean, standardDeviation } from "simple-statistics";

/** Size of the sliding window of intervals between heartbeats. */
const MAX_INTERVALS = 50;
/** With fewer intervals, the configured expected interval is used instead of their mean. */
const MIN_INTERVALS = 4;
/** Cap of an interval, in expected intervals, so that one past outage does not dominate mean and deviation. */
const MAX_INTERVAL_FACTOR = 4;
/** Minimum standard deviation, as a share of the expected interval: heartbeats are also delayed by a busy CPU. */
const MIN_DEVIATION_SHARE = 0.5;
/** From this many standard deviations on, the tail of the normal distribution is approximated. */
const MAX_TABLE_Z = 3;

/**
 * Suspicion (phi) that a peer has failed, from the time since its last heartbeat and the distribution of earlier
 * intervals. A healthy peer exceeds a phi of 1 in one of ten intervals, and a phi of 8 in one of a hundred million.
 */
export class PhiAccrualDetector {
  private readonly intervals: number[] = [];
  private lastHeartbeatAt: number | null = null;

  constructor(private readonly expectedIntervalUs: number) {}

  /** Records a heartbeat received at `now`. */
  recordHeartbeat(now: number): void {
    if (this.lastHeartbeatAt !== null) {
      const interval = now - this.lastHeartbeatAt;
      this.intervals.push(Math.min(interval, this.expectedIntervalUs * MAX_INTERVAL_FACTOR));
      if (this.intervals.length > MAX_INTERVALS) this.intervals.shift();
    }
    this.lastHeartbeatAt = now;
  }

  /** Discards all heartbeats: the intervals of an earlier connection do not apply to a new one. */
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
    // The library's table ends at 3.09 standard deviations, beyond which phi would stay constant.
    return (zScore * zScore * Math.LOG10E) / 2 + Math.log10(zScore * Math.sqrt(2 * Math.PI));
  }
}
