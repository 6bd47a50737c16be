/** Messages between controllers and workers: heartbeats with task statuses, commands, and answers to both. */
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

/** Why a task has exited. `no_room`, `busy`: the worker could not start it. `unknown`: it has no such task. */
export type ExitReason = "done" | "stopped" | "error" | "no_room" | "busy" | "unknown";
/** Where a task stands on its worker. `waiting`: has its image and waits for the rest of its gang. */
export type TaskState = "fetching" | "waiting" | "running" | "saving" | "exited";

/** A task as its worker sees it. */
export interface TaskStatus {
  readonly task: string;
  readonly attempt: Uint64;
  readonly state: TaskState;
  /** Null unless the state is `exited`. */
  readonly reason: ExitReason | null;
}

/** What a worker says of itself at each heartbeat interval, and when it is asked. */
export interface Heartbeat {
  readonly machine: string;
  /** Where commands are accepted, "host:port". */
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Grows with each start of the worker. */
  readonly incarnation: Uint64;
  /** Grows with each heartbeat of an incarnation. */
  readonly sequence: Uint64;
  /** The highest fencing token that the worker has seen; 0: none. */
  readonly token: Uint64;
  /** Time until the cloud takes a spot instance back; null: no notice. */
  readonly reclaimNoticeS: number | null;
  /** Empty where `taskListUnchanged` is set. */
  readonly tasks: readonly TaskStatus[];
  /** The task list as it was written, to tell at the next heartbeat whether it has changed; null: not kept. */
  readonly taskListText: string | null;
  /** The list is, letter by letter, the one that was known before. */
  readonly taskListUnchanged: boolean;
}

/** An order to a worker. `graceS`: time for a last checkpoint. */
export type Command =
  | { readonly op: "start"; readonly task: string; readonly attempt: Uint64 }
  | { readonly op: "stop"; readonly task: string; readonly attempt: Uint64; readonly graceS: number }
  | { readonly op: "forget"; readonly task: string; readonly attempt: Uint64 };

const STATE_BY_KEYWORD: Readonly<Record<string, TaskState>> = {
  pulling: "fetching",
  waiting: "waiting",
  running: "running",
  flushing: "saving",
  exited: "exited",
};
const REASON_BY_KEYWORD: Readonly<Record<string, ExitReason>> = {
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

const MAX_MACHINE_NAME_LENGTH = 100;
const ADDRESS = /^[\d.]+:\d{1,5}$/;
/** What precedes the first entry of the task list where the list follows another field. */
const TASK_LIST_MARKER = ',"shards":[';

/** Gives the text of a machine's task list at its last heartbeat; null: not known. */
export type KnownTaskListText = (machine: string) => string | null;

/**
 * Decodes a heartbeat. Most say nothing new; where the task list is written as it was in the last heartbeat (`known`),
 * it is not decoded again. Throws MalformedMessageError or SyntaxError.
 */
export const decodeHeartbeatText = (text: string, known: KnownTaskListText): Heartbeat => {
  const listStart = text.indexOf(TASK_LIST_MARKER);
  if (listStart <= 0) return decodeHeartbeat(parseJson(text));
  const taskListText = text.slice(listStart);
  return (
    decodeWithKnownTaskList(text.slice(0, listStart), taskListText, known) ??
    decodeHeartbeatFields(parseJson(text), taskListText, false)
  );
};

/**
 * Null where the task list is not known to be unchanged. `head`, what precedes the list, is an object by itself once it
 * is closed; only then does the list stand at the top level, so equal letters mean an equal list.
 */
const decodeWithKnownTaskList = (head: string, taskListText: string, known: KnownTaskListText): Heartbeat | null => {
  try {
    const fields = asObject(parseJson(`${head}}`), "report");
    if (typeof fields.host !== "string" || known(fields.host) !== taskListText) return null;
    return decodeHeartbeatFields(fields, taskListText, true);
  } catch {
    // Fields may follow the list, or the marker may stand within a text: the whole has to be decoded as it is.
    return null;
  }
};

/** Decodes a heartbeat that is JSON already. Throws MalformedMessageError. */
export const decodeHeartbeat = (body: unknown): Heartbeat => decodeHeartbeatFields(body, null, false);

const decodeHeartbeatFields = (body: unknown, taskListText: string | null, taskListUnchanged: boolean): Heartbeat => {
  const fields = asObject(body, "report");
  const machine = readString(fields, "host");
  if (machine === "" || machine.length > MAX_MACHINE_NAME_LENGTH) {
    throw new MalformedMessageError("host: empty or too long");
  }
  const address = readString(fields, "addr");
  if (!ADDRESS.test(address)) throw new MalformedMessageError("addr: not an address");
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
    taskListText,
    taskListUnchanged,
  };
};

const decodeTaskStatus = (value: unknown): TaskStatus => {
  const fields = asObject(value, "task");
  const cause = readOptional(fields, "cause", readString);
  return taskStatusOf(readString(fields, "shard"), readUint64(fields, "try"), readString(fields, "phase"), cause);
};

/** A task's status from the protocol's keywords for its state and for the cause of its exit, without a message. */
export const taskStatusOf = (task: string, attempt: Uint64, phase: string, cause: string | null): TaskStatus => {
  // A task in an unknown state still takes its place on the machine.
  const state = STATE_BY_KEYWORD[phase] ?? "running";
  return { task, attempt, state, reason: state === "exited" ? (REASON_BY_KEYWORD[cause ?? ""] ?? "error") : null };
};

/** Answer to a heartbeat: the fencing token of the sender, and commands. */
export const encodeHeartbeatResponse = (token: Uint64, commands: readonly Command[]): JsonObject => ({
  baton: token,
  orders: commands.map(encodeCommand),
});

/** Request with commands, which only this incarnation of the worker carries out. */
export const encodeCommandRequest = (token: Uint64, incarnation: Uint64, commands: readonly Command[]): JsonObject => ({
  baton: token,
  tenure: incarnation,
  orders: commands.map(encodeCommand),
});

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

/** Answer that refers a worker to the leader of its shard. `leaderAddress`: "host:port"; null: not known. */
export const encodeRedirect = (leaderAddress: string | null): JsonObject =>
  leaderAddress === null ? {} : { steward: leaderAddress };
