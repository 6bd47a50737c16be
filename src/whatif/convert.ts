import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { ClusterEvent } from "../cluster/events.js";
import type { TraceEvent, TraceHeader } from "./format.js";
import { mend, type Remark, readTrace, type Trace, TraceError } from "./trace.js";
import { headerOf, traceEventOf } from "./translate.js";

/** Where a log's events come from when there is no trace to take the site from. */
export interface LogSite {
  readonly header: TraceHeader;
}

interface LogLine {
  readonly time: number;
  readonly msg: string;
  readonly event?: ClusterEvent;
}

const isLine = (value: unknown): value is LogLine =>
  typeof value === "object" &&
  value !== null &&
  typeof (value as LogLine).time === "number" &&
  typeof (value as LogLine).msg === "string";

/** Events of rainridge's own JSON log at level debug (`msg` "seen"), with the time of day at which they were seen. */
const readLog = async (
  file: string,
): Promise<{ readonly events: { time: number; event: ClusterEvent }[]; other: number }> => {
  const events: { time: number; event: ClusterEvent }[] = [];
  let other = 0;
  const lines = createInterface({ input: createReadStream(file), crlfDelay: Number.POSITIVE_INFINITY });
  try {
    for await (const line of lines) {
      let value: unknown;
      try {
        value = JSON.parse(line);
      } catch {
        other += 1;
        continue;
      }
      if (isLine(value) && value.msg === "seen" && value.event !== undefined) {
        events.push({ time: value.time * 1_000, event: value.event });
      } else other += 1;
    }
  } catch (error) {
    throw new TraceError(`${file}: ${(error as NodeJS.ErrnoException).code ?? String(error)}`);
  }
  return { events, other };
};

const isTrace = async (file: string): Promise<boolean> => {
  if (file.endsWith(".gz")) return true;
  const lines = createInterface({ input: createReadStream(file) });
  try {
    for await (const line of lines) return line.includes('"rainridgeTrace"');
  } catch (error) {
    throw new TraceError(`${file}: ${(error as NodeJS.ErrnoException).code ?? String(error)}`);
  } finally {
    lines.close();
  }
  return false;
};

const beganOf = ({ header }: Trace): number =>
  header.clock.began === null ? 0 : Date.parse(header.clock.began) * 1_000;

/**
 * Puts recorded traces and logs of several controllers together into one trace. The first trace gives the site; from
 * logs alone it comes from `site`. Events that several saw count once.
 */
export const convert = async (files: readonly string[], site: LogSite | null): Promise<Trace> => {
  const traces: Trace[] = [];
  const logs: { time: number; event: ClusterEvent }[] = [];
  const remarks: Remark[] = [];
  for (const file of files) {
    if (await isTrace(file)) {
      const trace = await readTrace(file, true);
      traces.push(trace);
      for (const { line, what } of trace.remarks) remarks.push({ line, what: `${file}: ${what}` });
    } else {
      const { events, other } = await readLog(file);
      // A controller that never held the machines has seen nothing of them.
      if (events.length === 0) remarks.push({ line: 0, what: `${file}: no events; logs tell them at LOG_LEVEL=debug` });
      else if (other > 0) remarks.push({ line: 0, what: `${file}: ${other} lines that tell no event` });
      logs.push(...events);
    }
  }
  if (traces.length === 0 && logs.length === 0) {
    throw new TraceError(`${files.join(", ")}: neither traces nor logs with events (LOG_LEVEL=debug)`);
  }
  const given = traces[0]?.header ?? site?.header;
  if (given === undefined)
    throw new TraceError("from logs alone the site is not known: name its settings with --config");
  let began = Number.POSITIVE_INFINITY;
  for (const trace of traces) began = Math.min(began, beganOf(trace));
  for (const { time } of logs) began = Math.min(began, time);
  const events: TraceEvent[] = [];
  for (const trace of traces) {
    const shift = Math.round(beganOf(trace) - began);
    for (const event of trace.events) events.push({ ...event, at: event.at + shift });
  }
  for (const { time, event } of logs) events.push(traceEventOf(event, Math.round(time - began)));
  events.sort((a, b) => a.at - b.at);
  const merged = mend(events, (what) => remarks.push({ line: 0, what }));
  const iso = Number.isFinite(began) && began > 0 ? new Date(began / 1_000).toISOString() : null;
  const header = { ...headerOf(given.site, "converted", iso), standing: given.standing };
  return { header, events: merged.events, remarks };
};
