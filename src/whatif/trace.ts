import { once } from "node:events";
import { createReadStream, createWriteStream } from "node:fs";
import { Readable, type Writable } from "node:stream";
import { createGunzip, createGzip } from "node:zlib";
import { Ajv, type ErrorObject, type ValidateFunction } from "ajv";
import {
  eventSchemas,
  headerSchema,
  jobSchema,
  type SubmitEvent,
  siteSchema,
  type TraceEvent,
  type TraceHeader,
} from "./format.js";

/** Message is one line naming file, line and field. */
export class TraceError extends Error {}

/** Something in a trace that was mended or left out; nothing is dropped without one. */
export interface Remark {
  readonly line: number;
  readonly what: string;
}

export interface Trace {
  readonly header: TraceHeader;
  /** In the order of time; events of one moment in the order of the file. */
  readonly events: readonly TraceEvent[];
  readonly remarks: readonly Remark[];
}

/** Longer lines are no trace: a job has at most 100,000 run times. */
const MAX_LINE = 8 * 1024 * 1024;
/** Remarks beyond these are counted only. */
const MAX_REMARKS = 1_000;

export const describe = (errors: readonly ErrorObject[] | null | undefined): string => {
  const first = errors?.[0];
  if (first === undefined) return "invalid";
  const extra: unknown = first.params.additionalProperty ?? first.params.missingProperty;
  const path = `${first.instancePath}${extra === undefined ? "" : `/${String(extra)}`}`.slice(1).replaceAll("/", ".");
  if (first.keyword === "additionalProperties") return `${path}: not a known field`;
  if (first.keyword === "required") return `${path}: missing`;
  return `${path === "" ? "value" : path}: ${first.message ?? "invalid"}`;
};

interface Validators {
  readonly header: ValidateFunction<TraceHeader>;
  readonly events: ReadonlyMap<string, ValidateFunction<TraceEvent>>;
}

let compiled: Validators | null = null;

const validators = (): Validators => {
  if (compiled !== null) return compiled;
  const ajv = new Ajv({ allowUnionTypes: true, strictRequired: false });
  ajv.addSchema(siteSchema).addSchema(jobSchema);
  const events = new Map(
    Object.entries(eventSchemas).map(([kind, schema]) => [kind, ajv.compile<TraceEvent>(schema)] as const),
  );
  compiled = { header: ajv.compile<TraceHeader>(headerSchema), events };
  return compiled;
};

/** Null where it is an event; else what is wrong, naming the field. */
const faultOf = (value: unknown): string | null => {
  if (typeof value !== "object" || value === null || Array.isArray(value)) return "not an object";
  const kind = (value as { event?: unknown }).event;
  if (typeof kind !== "string") return "event: missing";
  const validate = validators().events.get(kind);
  if (validate === undefined) return `event: unknown kind ${kind}`;
  return validate(value) ? null : describe(validate.errors);
};

const parseLine = (text: string): { readonly value: unknown } | null => {
  try {
    return { value: JSON.parse(text) };
  } catch {
    return null;
  }
};

/** Lines of a file, plain or gzip. A cut gzip gives what could be unpacked; `cut` tells. */
async function* linesOf(source: Readable): AsyncGenerator<{ text: string; ended: boolean }, void> {
  let rest = "";
  source.setEncoding("utf8");
  for await (const chunk of source) {
    const parts = (rest + String(chunk)).split("\n");
    rest = parts.pop() ?? "";
    if (rest.length > MAX_LINE) throw new TraceError("a line is longer than 8 MiB");
    for (const text of parts) yield { text, ended: true };
  }
  if (rest !== "") yield { text: rest, ended: false };
}

/** A cut archive ends early; what came before is whole lines and one torn one. */
const unpack = (file: string): Readable => {
  const raw = createReadStream(file);
  if (!file.endsWith(".gz")) return raw;
  const gunzip = createGunzip();
  const out = new Readable({ read: () => undefined });
  raw.on("error", (error) => out.destroy(error));
  gunzip.on("data", (chunk: Buffer) => out.push(chunk));
  gunzip.on("end", () => out.push(null));
  gunzip.on("error", (error: NodeJS.ErrnoException) => {
    if (error.code === "Z_BUF_ERROR") out.push(null);
    else out.destroy(error);
  });
  raw.pipe(gunzip);
  return out;
};

class Reader {
  header: TraceHeader | null = null;
  readonly events: TraceEvent[] = [];
  readonly remarks: Remark[] = [];
  private dropped = 0;
  private line = 0;
  private torn: { readonly line: number; readonly fault: string } | null = null;

  constructor(
    private readonly file: string,
    private readonly lenient: boolean,
  ) {}

  remark(line: number, what: string): void {
    if (this.remarks.length < MAX_REMARKS) this.remarks.push({ line, what });
    else this.dropped += 1;
  }

  take(text: string, ended: boolean): void {
    this.line += 1;
    if (text.trim() === "") return;
    const parsed = parseLine(text);
    if (this.header === null) {
      const { header } = validators();
      if (parsed === null) throw new TraceError(`${this.file}:${this.line}: header: not JSON`);
      if (!header(parsed.value)) throw new TraceError(`${this.file}:${this.line}: header: ${describe(header.errors)}`);
      this.header = parsed.value;
      return;
    }
    const fault = parsed === null ? "not JSON" : faultOf(parsed.value);
    if (fault === null && parsed !== null) this.events.push(parsed.value as TraceEvent);
    // The last line of a file whose writer was killed loses only itself.
    else if (!ended) this.torn = { line: this.line, fault: fault ?? "" };
    else if (this.lenient) this.remark(this.line, fault ?? "");
    else throw new TraceError(`${this.file}:${this.line}: ${fault}`);
  }

  finish(): Trace {
    if (this.header === null) throw new TraceError(`${this.file}: empty`);
    if (this.torn !== null) this.remark(this.torn.line, `last line cut off (${this.torn.fault}), left out`);
    if (this.dropped > 0) this.remarks.push({ line: 0, what: `${this.dropped} further remarks` });
    return { header: this.header, ...mend(this.events, (what) => this.remark(0, what)), remarks: this.remarks };
  }
}

/** Puts right what recorders on several controllers and a stepping clock leave behind. */
export const mend = (
  given: readonly TraceEvent[],
  remark: (what: string) => void,
): { readonly events: readonly TraceEvent[] } => {
  let back = 0;
  let last = 0;
  for (const { at } of given) {
    if (at < last) back += 1;
    last = at;
  }
  if (back > 0) remark(`time goes back ${back} times: events sorted by their time`);
  const order = back > 0 ? [...given].sort((a, b) => a.at - b.at) : given;
  const seen = new Set<string>();
  const events: TraceEvent[] = [];
  let twice = 0;
  for (const event of order) {
    // One submission a job; anything else is the same event when all of it is.
    const key =
      event.event === "submit"
        ? `submit/${event.job.ref}`
        : event.event === "task_end" || event.event === "follows"
          ? null
          : JSON.stringify(event);
    if (key !== null && seen.has(key)) {
      twice += 1;
      continue;
    }
    if (key !== null) seen.add(key);
    events.push(event);
  }
  if (twice > 0) remark(`${twice} events stand twice: the first counts`);
  return { events: withOrder(withRunTimes(events)) };
};

/** `follows` tells what a job waited for: folded into its submission, where that says nothing of it. */
const withOrder = (events: readonly TraceEvent[]): readonly TraceEvent[] => {
  const told = new Map<string, { readonly after: readonly string[]; readonly pauseUs: number }>();
  for (const event of events) if (event.event === "follows") told.set(event.job, event);
  if (told.size === 0) return events;
  return events.flatMap((event): TraceEvent[] => {
    if (event.event === "follows") return [];
    const order = event.event === "submit" && event.after === undefined ? told.get(event.job.ref) : undefined;
    if (event.event !== "submit" || order === undefined) return [event];
    return [{ ...event, after: order.after, pauseUs: order.pauseUs }];
  });
};

/**
 * `task_end` tells how long a task took: folded into its job's submission, where that says nothing of it. Of the tasks
 * that no end is known of, those of a job that was cancelled ran until then, and would have run on; the others ran
 * about as long as the ones that ended; where none did, the owner's estimate stays.
 */
const withRunTimes = (events: readonly TraceEvent[]): readonly TraceEvent[] => {
  const runs = new Map<string, Record<string, number>>();
  const cancelled = new Set<string>();
  for (const event of events) {
    if (event.event === "abort") cancelled.add(event.job);
    if (event.event !== "task_end") continue;
    const known = runs.get(event.job) ?? {};
    known[event.index] = event.ranUs;
    runs.set(event.job, known);
  }
  const merged = (event: SubmitEvent): SubmitEvent => {
    const known = runs.get(event.job.ref);
    if (event.runUs !== undefined)
      return known === undefined ? event : { ...event, runsUs: { ...known, ...event.runsUs } };
    const values = Object.values({ ...known, ...event.runsUs });
    const runsUs = values.length === 0 ? {} : { runsUs: { ...known, ...event.runsUs } };
    if (cancelled.has(event.job.ref) && values.length < event.job.shards) return { ...event, ...runsUs, runUs: null };
    if (values.length === 0) return event;
    return { ...event, ...runsUs, runUs: Math.round(values.reduce((sum, value) => sum + value, 0) / values.length) };
  };
  return events.flatMap((event): TraceEvent[] => {
    if (event.event === "task_end") return [];
    return event.event === "submit" ? [merged(event)] : [event];
  });
};

/**
 * Reads a trace, plain or gzip by its name. Throws TraceError on the first fault, naming line and field; with `lenient`
 * faulty events become remarks. A cut last line loses only itself.
 */
export const readTrace = async (file: string, lenient = false): Promise<Trace> => {
  const reader = new Reader(file, lenient);
  try {
    for await (const { text, ended } of linesOf(unpack(file))) reader.take(text, ended);
  } catch (error) {
    if (error instanceof TraceError) throw error;
    throw new TraceError(`${file}: ${(error as NodeJS.ErrnoException).code ?? String(error)}`);
  }
  return reader.finish();
};

/** The same from lines in memory. */
export const parseTrace = (text: string, name = "trace", lenient = false): Trace => {
  const reader = new Reader(name, lenient);
  const parts = text.split("\n");
  parts.forEach((line, at) => {
    if (at < parts.length - 1 || line !== "") reader.take(line, at < parts.length - 1);
  });
  return reader.finish();
};

export const formatTrace = (header: TraceHeader, events: Iterable<TraceEvent>): string => {
  const lines = [JSON.stringify(header)];
  for (const event of events) lines.push(JSON.stringify(event));
  return `${lines.join("\n")}\n`;
};

/** Writes a trace, gzip by its name; same events, same bytes. */
export const writeTrace = async (file: string, header: TraceHeader, events: Iterable<TraceEvent>): Promise<void> => {
  const out = createWriteStream(file);
  const target: Writable = file.endsWith(".gz") ? createGzip({ level: 9 }) : out;
  if (target !== out) target.pipe(out);
  const failed = once(out, "error").then(([error]) => {
    throw new TraceError(`${file}: ${(error as NodeJS.ErrnoException).code ?? String(error)}`);
  });
  const write = async (): Promise<void> => {
    let lines = `${JSON.stringify(header)}\n`;
    for (const event of events) {
      lines += `${JSON.stringify(event)}\n`;
      if (lines.length < 65_536) continue;
      if (!target.write(lines)) await once(target, "drain");
      lines = "";
    }
    target.end(lines);
    await once(out, "close");
  };
  await Promise.race([write(), failed]);
};
