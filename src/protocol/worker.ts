import {
  asArray,
  asObject,
  type JsonObject,
  MalformedMessageError,
  parseJson,
  readBoolean,
  readNonNegative,
  readOptional,
  readString,
  readUint64,
  type Uint64,
} from "./json.js";

export type ExitReason = "done" | "stopped" | "error" | "no_room" | "busy" | "unknown";
/** `waiting`: has its image and waits for the rest of its gang. */
export type TaskState = "fetching" | "waiting" | "running" | "saving" | "exited";

export interface TaskStatus {
  readonly task: string;
  readonly attempt: Uint64;
  readonly state: TaskState;
  readonly reason: ExitReason | null;
}

export interface Heartbeat {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly incarnation: Uint64;
  readonly sequence: Uint64;
  readonly token: Uint64;
  readonly reclaimNoticeS: number | null;
  /** Empty where `same` is set. */
  readonly tasks: readonly TaskStatus[];
  /** The list of tasks as it was written, to tell at the next report whether anything has changed; null: not kept. */
  readonly taskListText: string | null;
  /** The list is, letter by letter, the one that the reader was shown before. */
  readonly taskListUnchanged: boolean;
}

export type Command =
  | { readonly op: "start"; readonly task: string; readonly attempt: Uint64 }
  | { readonly op: "stop"; readonly task: string; readonly attempt: Uint64; readonly graceS: number }
  | { readonly op: "forget"; readonly task: string; readonly attempt: Uint64 };

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
export const taskStatusOf = (task: string, attempt: Uint64, phase: string, cause: string | null): TaskStatus => {
  // A state we do not know still holds its place on the machine.
  const state = WIRE_STATE[phase] ?? "running";
  return { task, attempt, state, reason: state === "exited" ? (WIRE_REASON[cause ?? ""] ?? "error") : null };
};

const decodeTaskStatus = (value: unknown): TaskStatus => {
  const fields = asObject(value, "task");
  const cause = readOptional(fields, "cause", readString);
  return taskStatusOf(readString(fields, "shard"), readUint64(fields, "try"), readString(fields, "phase"), cause);
};

const TASK_LIST_MARKER = ',"shards":[';

/**
 * Reads a report. Most say nothing new; where the list of tasks is written as it was in the last report (`known`, by
 * machine), it is not read again. What comes before the list is an object by itself once it is closed, and only then
 * does the list stand at the top level, so equal letters mean an equal list. Throws Malformed or SyntaxError.
 */
export const decodeHeartbeatText = (text: string, known: (machine: string) => string | null): Heartbeat => {
  const at = text.indexOf(TASK_LIST_MARKER);
  if (at > 0) {
    const listing = text.slice(at);
    try {
      const head = asObject(parseJson(`${text.slice(0, at)}}`), "report");
      if (typeof head.host === "string" && known(head.host) === listing) {
        return { ...decodeHeartbeat(head), taskListText: listing, taskListUnchanged: true };
      }
    } catch {
      // Fields may stand after the list, or the letters within a text; then the whole is read as it is.
    }
    return { ...decodeHeartbeat(parseJson(text)), taskListText: listing };
  }
  return decodeHeartbeat(parseJson(text));
};

export const decodeHeartbeat = (body: unknown): Heartbeat => {
  const fields = asObject(body, "report");
  const machine = readString(fields, "host");
  if (machine === "" || machine.length > 100) throw new MalformedMessageError("host: empty or too long");
  const address = readString(fields, "addr");
  if (!/^[\d.]+:\d{1,5}$/.test(address)) throw new MalformedMessageError("addr: not an address");
  return {
    machine,
    address,
    type: readString(fields, "flavor"),
    zone: readString(fields, "area"),
    spot: readOptional(fields, "loaner", readBoolean) ?? false,
    incarnation: readUint64(fields, "tenure"),
    sequence: readUint64(fields, "tick"),
    token: readUint64(fields, "baton"),
    reclaimNoticeS: readOptional(fields, "warningS", readNonNegative),
    tasks: asArray(fields.shards ?? [], "shards").map(decodeTaskStatus),
    taskListText: null,
    taskListUnchanged: false,
  };
};

const encodeCommand = (command: Command): JsonObject => {
  switch (command.op) {
    case "start":
      return { verb: "launch", shard: command.task, try: command.attempt };
    case "stop":
      return { verb: "halt", shard: command.task, try: command.attempt, windDownS: command.graceS };
    case "forget":
      return { verb: "forget", shard: command.task, try: command.attempt };
  }
};

export const encodeHeartbeatResponse = (token: Uint64, commands: readonly Command[]): JsonObject => ({
  baton: token,
  orders: commands.map(encodeCommand),
});

export const encodeCommandRequest = (token: Uint64, session: Uint64, commands: readonly Command[]): JsonObject => ({
  baton: token,
  tenure: session,
  orders: commands.map(encodeCommand),
});

export const encodeRedirect = (steward: string | null): JsonObject => (steward === null ? {} : { steward });
