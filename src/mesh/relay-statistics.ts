/** Counts of relayed calls, for a line in the log every half minute. */
import { type Clock, type Micros, seconds } from "../transport/clock.js";
import { type LatencyHistogram, LatencyHistograms } from "../transport/latency-histogram.js";
import type { Log } from "../transport/log.js";
import { LogEvent } from "./log-events.js";

const SUMMARY_PERIOD = seconds(30);
const MAX_DURATION_MS = 60_000;
const MICROS_PER_MILLISECOND = 1_000;

const zeroCounts = () => ({
  /** Calls that peers were asked to relay. */
  relayedCalls: 0,
  /** Those of them without an answer. */
  failedCalls: 0,
  /** Workers' heartbeats that were forwarded to the shard's leader. */
  forwardedHeartbeats: 0,
  /** Calls relayed for peers. */
  servedCalls: 0,
  /** Calls that peers asked for, and that were refused under load. */
  rejectedCalls: 0,
});

/** Counts since the last line, and the durations of calls that peers relayed. */
export class RelayStatistics {
  private counts = zeroCounts();
  private readonly histograms: LatencyHistograms;
  /** Null until the first call is recorded. */
  private durationsMs: LatencyHistogram | null = null;
  private summarizedAt: Micros;

  constructor(
    clock: Clock,
    private readonly log: Log,
  ) {
    this.summarizedAt = clock.now();
    this.histograms = new LatencyHistograms(clock, log);
  }

  /** A peer has relayed a call for this controller in `duration`. */
  recordCall(duration: Micros, answered: boolean): void {
    this.counts.relayedCalls += 1;
    if (!answered) this.counts.failedCalls += 1;
    this.durationsMs ??= this.histograms.create(MAX_DURATION_MS);
    this.durationsMs?.record(duration / MICROS_PER_MILLISECOND);
  }

  /** A worker's heartbeat was forwarded to the shard's leader. */
  recordForwardedHeartbeat(): void {
    this.counts.forwardedHeartbeats += 1;
  }

  /** A call is being made for a peer. */
  recordServedCall(): void {
    this.counts.servedCalls += 1;
  }

  /** A call that a peer asked for was refused under load. */
  recordRejectedCall(): void {
    this.counts.rejectedCalls += 1;
  }

  /** Once a period: writes the counts to the log if anything was relayed, and starts anew. */
  summarize(now: Micros): void {
    if (now - this.summarizedAt < SUMMARY_PERIOD) return;
    this.summarizedAt = now;
    if (this.isActive()) this.log.info(LogEvent.MeshSummarized, { ...this.counts, ...this.percentiles() });
    this.counts = zeroCounts();
    this.durationsMs?.reset();
  }

  private isActive(): boolean {
    const { relayedCalls, forwardedHeartbeats, servedCalls, rejectedCalls } = this.counts;
    return relayedCalls + forwardedHeartbeats + servedCalls + rejectedCalls > 0;
  }

  private percentiles(): { readonly callP50Ms: number; readonly callP99Ms: number } {
    return {
      callP50Ms: this.durationsMs?.percentile(50) ?? 0,
      callP99Ms: this.durationsMs?.percentile(99) ?? 0,
    };
  }
}
