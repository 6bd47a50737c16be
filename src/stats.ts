import type { Histogram } from "hdr-histogram-js";
import { type Clock, seconds } from "./transport/clock.js";
import type { HttpHandler, HttpRequest } from "./transport/http.js";
import type { Log } from "./transport/log.js";

const PERIOD = seconds(60);
/** A start must be quick, so the library is only loaded when the first rush is over. */
const LOAD_AFTER = seconds(20);
const HIGHEST_US = 60_000_000;

const kindOf = (request: HttpRequest): string => {
  if (request.target === "/hello") return "report";
  if (request.target.endsWith("/abort")) return "cancel";
  if (request.method === "POST") return "submit";
  return request.target === "/up" ? "up" : "status";
};

/** Counts requests by kind and status, and logs them with their latencies every minute. */
export const countRequests = (clock: Clock, log: Log, handler: HttpHandler): HttpHandler => {
  const histograms = new Map<string, Histogram>();
  const statuses = new Map<string, number>();
  let build: (() => Histogram) | null = null;
  clock.after(LOAD_AFTER, () => {
    import("hdr-histogram-js").then(
      (library) => {
        build = () => library.default.build({ highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: 2 });
      },
      (error: unknown) => log.error("no histograms", { error: String(error) }),
    );
  });
  const report = (): void => {
    const latencyUs = Object.fromEntries(
      [...histograms].map(([kind, histogram]) => [
        kind,
        {
          count: histogram.totalCount,
          p50: histogram.getValueAtPercentile(50),
          p99: histogram.getValueAtPercentile(99),
          max: histogram.maxValue,
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
    if (build === null) return response;
    const histogram = histograms.get(kind) ?? build();
    histograms.set(kind, histogram);
    histogram.recordValue(Math.min(HIGHEST_US, Math.max(1, clock.now() - started)));
    return response;
  };
};
