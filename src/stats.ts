/** Statistics of handled requests for the log: counts by kind and status, and latencies by kind. */
import { type Clock, seconds } from "./transport/clock.js";
import type { HttpHandler, HttpRequest } from "./transport/http.js";
import { type LatencyHistogram, LatencyHistograms } from "./transport/latency-histogram.js";
import type { Log } from "./transport/log.js";

const LOG_INTERVAL = seconds(60);
const MAX_LATENCY_US = 60_000_000;

const requestKind = (request: HttpRequest): string => {
  if (request.target === "/hello") return "report";
  if (request.target.endsWith("/abort")) return "cancel";
  if (request.method === "POST") return "submit";
  return request.target === "/up" ? "up" : "status";
};

/**
 * Wraps a handler to count requests by kind and status and to log the counts, latencies (µs) and resident memory every
 * minute. Each period starts from zero.
 */
export const countRequests = (clock: Clock, log: Log, handler: HttpHandler): HttpHandler => {
  const histogramFactory = new LatencyHistograms(clock, log);
  const histograms = new Map<string, LatencyHistogram>();
  const counts = new Map<string, number>();
  const logStats = (): void => {
    const latencyUs = Object.fromEntries(
      [...histograms].map(([kind, histogram]) => [
        kind,
        {
          count: histogram.count,
          p50: histogram.percentile(50),
          p99: histogram.percentile(99),
          max: histogram.max,
        },
      ]),
    );
    log.info("stats", { statuses: Object.fromEntries(counts), latencyUs, rssMb: process.memoryUsage.rss() >> 20 });
    histograms.clear();
    counts.clear();
    clock.after(LOG_INTERVAL, logStats);
  };
  clock.after(LOG_INTERVAL, logStats);
  return async (request) => {
    const started = clock.now();
    const response = await handler(request);
    const kind = requestKind(request);
    const key = `${kind} ${response.status}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
    const histogram = histograms.get(kind) ?? histogramFactory.create(MAX_LATENCY_US);
    if (histogram === null) return response;
    histograms.set(kind, histogram);
    histogram.record(clock.now() - started);
    return response;
  };
};
