import { cumulativeStdNormalProbability, mean, standardDeviation } from "simple-statistics";

const KEPT = 50;
const LEAST_KNOWN = 4;
/** Beats wait for a busy processor as well: never be surer of their regularity than this share of their interval. */
const LEAST_SPREAD = 0.5;
const TABLE_ENDS = 3;

/**
 * Accrual failure detection (Hayashibara et al., "The phi accrual failure detector", SRDS 2004): how surprising it is
 * that nothing has come for so long, given how regularly it used to come. 1: one in ten such silences is nothing;
 * 8: one in a hundred million. Times in microseconds of the own steady clock.
 */
export class Detector {
  private readonly gaps: number[] = [];
  private last: number | null = null;

  constructor(private readonly expectedUs: number) {}

  heard(now: number): void {
    if (this.last !== null) {
      // A silence that is over says nothing of how regularly it comes otherwise.
      this.gaps.push(Math.min(now - this.last, this.expectedUs * 4));
      if (this.gaps.length > KEPT) this.gaps.shift();
    }
    this.last = now;
  }

  /** The connection is new: what came over the old one says nothing any more. */
  reset(): void {
    this.gaps.length = 0;
    this.last = null;
  }

  phi(now: number): number {
    if (this.last === null) return Number.POSITIVE_INFINITY;
    const known = this.gaps.length >= LEAST_KNOWN;
    const usual = known ? mean(this.gaps) : this.expectedUs;
    const spread = Math.max(known ? standardDeviation(this.gaps) : 0, this.expectedUs * LEAST_SPREAD);
    const z = (now - this.last - usual) / spread;
    if (z < TABLE_ENDS) return -Math.log10(1 - cumulativeStdNormalProbability(z));
    // The library's table ends at 3.09, and beyond it no silence would seem any longer: the tail of the distribution.
    return (z * z * Math.LOG10E) / 2 + Math.log10(z * Math.sqrt(2 * Math.PI));
  }
}
