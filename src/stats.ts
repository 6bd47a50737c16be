/** Statistics of handled requests for the log: counts by kind and status, and latencies by kind. */
import { type Clock, seconds } from "./transport/clock.js";
import type { HttpHandler, HttpRequest } from "./transport/http.js";
import { type LatencyHistogram, LatencyHistograms } from "./transport/latency-histogram.js";
import type { Log } from "./transport/log.js";

const PERIOD = seconds(60);
const HIGHEST_US = 60_000_000;

const kindOf = (request: HttpRequest): string => {
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
  const factory = new LatencyHistograms(clock, log);
  const histograms = new Map<string, LatencyHistogram>();
  const statuses = new Map<string, number>();
  const report = (): void => {
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
    log.info("stats", { statuses: Object.fromEntries(statuses), latencyUs, rssMb: process.memoryUsage.rss() >> 20 });
    histograms.clear();
    statuses.clear();
    clock.after(PERIOD, report);
  };
  clock.after(PERIOD, report);
  return async (request) => {
    const started = clock.now();
    const response = await handler(request);
    const kind = kindOf(request);
    const key = `${kind} ${response.status}`;
    statuses.set(key, (statuses.get(key) ?? 0) + 1);
    const histogram = histograms.get(kind) ?? factory.create(HIGHEST_US);
    if (histogram === null) return response;
    histograms.set(kind, histogram);
    histogram.record(clock.now() - started);
    return response;
  };
};
