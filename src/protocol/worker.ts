import {
  asArray,
  asObject,
  type Fields,
  Malformed,
  orNull,
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
  readonly tasks: readonly TaskReport[];
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
