/** Counts of relayed calls, written to the log once per `SUMMARY_PERIOD`. */
import { type Clock, type Micros, seconds } from "../transport/clock.js";
import { type LatencyHistogram, LatencyHistograms } from "../transport/latency-histogram.js";
import type { Log } from "../transport/log.js";
import { LogEvent } from "./log-events.js";

const SUMMARY_PERIOD = seconds(30);
const MAX_DURATION_MS = 60_000;
const MICROS_PER_MILLISECOND = 1_000;

const zeroCounts = () => ({
  /** Calls of this controller relayed through peers. */
  relayedCalls: 0,
  /** Those of them that ended without a response. */
  failedCalls: 0,
  /** Workers' heartbeats forwarded to the shard leader. */
  forwardedHeartbeats: 0,
  /** Calls relayed for peers. */
  servedCalls: 0,
  /** Calls for peers that were rejected because of this controller's load. */
  rejectedCalls: 0,
});

/** Counts since the previous summary, and durations of calls relayed through peers. */
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

  /** Records a call of this controller relayed through a peer. `answered`: it ended with a response. */
  recordCall(duration: Micros, answered: boolean): void {
    this.counts.relayedCalls += 1;
    if (!answered) this.counts.failedCalls += 1;
    this.durationsMs ??= this.histograms.create(MAX_DURATION_MS);
    this.durationsMs?.record(duration / MICROS_PER_MILLISECOND);
  }

  /** Records a worker's heartbeat forwarded to the shard leader. */
  recordForwardedHeartbeat(): void {
    this.counts.forwardedHeartbeats += 1;
  }

  /** Records a call accepted for a peer. */
  recordServedCall(): void {
    this.counts.servedCalls += 1;
  }

  /** Records a call for a peer that was rejected because of load. */
  recordRejectedCall(): void {
    this.counts.rejectedCalls += 1;
  }

  /** Once per `SUMMARY_PERIOD`: logs the counts if anything was relayed or rejected, and resets them. */
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
