import {
  asArray,
  asObject,
  type Fields,
  Malformed,
  orNull,
  parseJson,
  readAmount,
  readBoolean,
  readString,
  readWhole,
  type Whole,
} from "./json.js";

export type ExitReason = "done" | "stopped" | "error" | "no_room" | "busy" | "unknown";
/** `waiting`: has its image and waits for the rest of its gang. */
export type TaskState = "fetching" | "waiting" | "running" | "saving" | "exited";

export interface TaskReport {
  readonly task: string;
  readonly attempt: Whole;
  readonly state: TaskState;
  readonly reason: ExitReason | null;
}

export interface Report {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly session: Whole;
  readonly sequence: Whole;
  readonly token: Whole;
  readonly noticeS: number | null;
  /** Empty where `same` is set. */
  readonly tasks: readonly TaskReport[];
  /** The list of tasks as it was written, to tell at the next report whether anything has changed; null: not kept. */
  readonly listing: string | null;
  /** The list is, letter by letter, the one that the reader was shown before. */
  readonly same: boolean;
}

export type Command =
  | { readonly op: "start"; readonly task: string; readonly attempt: Whole }
  | { readonly op: "stop"; readonly task: string; readonly attempt: Whole; readonly graceS: number }
  | { readonly op: "forget"; readonly task: string; readonly attempt: Whole };

const WIRE_STATE: Readonly<Record<string, TaskState>> = {
  pulling: "fetching",
  waiting: "waiting",
  running: "running",
  flushing: "saving",
  exited: "exited",
};
const WIRE_REASON: Readonly<Record<string, ExitReason>> = {
  done: "done",
  halted: "stopped",
  // Nothing speaks against machine or job when a gang did not get, or stay, complete.
  mates_gone: "stopped",
  incomplete: "stopped",
  error: "error",
  full: "no_room",
  in_use: "busy",
  no_such: "unknown",
};

/** For whoever has a worker's own words without a message around them. */
export const taskReport = (task: string, attempt: Whole, phase: string, cause: string | null): TaskReport => {
  // A state we do not know still holds its place on the machine.
  const state = WIRE_STATE[phase] ?? "running";
  return { task, attempt, state, reason: state === "exited" ? (WIRE_REASON[cause ?? ""] ?? "error") : null };
};

const readTask = (value: unknown): TaskReport => {
  const fields = asObject(value, "task");
  const cause = orNull(fields, "cause", readString);
  return taskReport(readString(fields, "shard"), readWhole(fields, "try"), readString(fields, "phase"), cause);
};

const LISTING = ',"shards":[';

/**
 * Reads a report. Most say nothing new; where the list of tasks is written as it was in the last report (`known`, by
 * machine), it is not read again. What comes before the list is an object by itself once it is closed, and only then
 * does the list stand at the top level, so equal letters mean an equal list. Throws Malformed or SyntaxError.
 */
export const readReportText = (text: string, known: (machine: string) => string | null): Report => {
  const at = text.indexOf(LISTING);
  if (at > 0) {
    const listing = text.slice(at);
    try {
      const head = asObject(parseJson(`${text.slice(0, at)}}`), "report");
      if (typeof head.host === "string" && known(head.host) === listing) {
        return { ...readReport(head), listing, same: true };
      }
    } catch {
      // Fields may stand after the list, or the letters within a text; then the whole is read as it is.
    }
    return { ...readReport(parseJson(text)), listing };
  }
  return readReport(parseJson(text));
};

export const readReport = (body: unknown): Report => {
  const fields = asObject(body, "report");
  const machine = readString(fields, "host");
  if (machine === "" || machine.length > 100) throw new Malformed("host: empty or too long");
  const address = readString(fields, "addr");
  if (!/^[\d.]+:\d{1,5}$/.test(address)) throw new Malformed("addr: not an address");
  return {
    machine,
    address,
    type: readString(fields, "flavor"),
    zone: readString(fields, "area"),
    spot: orNull(fields, "loaner", readBoolean) ?? false,
    session: readWhole(fields, "tenure"),
    sequence: readWhole(fields, "tick"),
    token: readWhole(fields, "baton"),
    noticeS: orNull(fields, "warningS", readAmount),
    tasks: asArray(fields.shards ?? [], "shards").map(readTask),
    listing: null,
    same: false,
  };
};

const writeCommand = (command: Command): Fields => {
  switch (command.op) {
    case "start":
      return { verb: "launch", shard: command.task, try: command.attempt };
    case "stop":
      return { verb: "halt", shard: command.task, try: command.attempt, windDownS: command.graceS };
    case "forget":
      return { verb: "forget", shard: command.task, try: command.attempt };
  }
};

export const reportAnswer = (token: Whole, commands: readonly Command[]): Fields => ({
  baton: token,
  orders: commands.map(writeCommand),
});

export const commandRequest = (token: Whole, session: Whole, commands: readonly Command[]): Fields => ({
  baton: token,
  tenure: session,
  orders: commands.map(writeCommand),
});

export const redirectAnswer = (steward: string | null): Fields => (steward === null ? {} : { steward });
