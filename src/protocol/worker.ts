/** Messages between controllers and workers: heartbeats with task statuses, commands, and the responses to both. */
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

/** Why a task has exited. `no_room`, `busy`: the worker could not start it. `unknown`: the worker has no such task. */
export type ExitReason = "done" | "stopped" | "error" | "no_room" | "busy" | "unknown";
/** State of a task on its worker. `waiting`: the image is present, and the task waits for the rest of its gang. */
export type TaskState = "fetching" | "waiting" | "running" | "saving" | "exited";

/** Status of a task as reported by its worker. */
export interface TaskStatus {
  readonly task: string;
  readonly attempt: Uint64;
  readonly state: TaskState;
  /** Null unless the state is `exited`. */
  readonly reason: ExitReason | null;
}

/** Report of a worker, sent at each heartbeat interval and in response to a status query. */
export interface Heartbeat {
  readonly machine: string;
  /** Address for commands, "host:port". */
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Increases with each start of the worker. */
  readonly incarnation: Uint64;
  /** Increases with each heartbeat of an incarnation. */
  readonly sequence: Uint64;
  /** Highest fencing token that the worker has received; 0: none. */
  readonly token: Uint64;
  /** Seconds until the cloud reclaims the spot instance; null: no notice. */
  readonly reclaimNoticeS: number | null;
  /** Empty where `taskListUnchanged` is set. */
  readonly tasks: readonly TaskStatus[];
  /** JSON text of the task list, compared at the next heartbeat to detect changes; null: not available. */
  readonly taskListText: string | null;
  /** The text of the task list is identical to that of the previous heartbeat. */
  readonly taskListUnchanged: boolean;
}

/** A command to a worker. `graceS`: time for a final checkpoint, in seconds. */
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
  // A gang that did not become or stay complete is not evidence of a fault of the machine or the job.
  mates_gone: "stopped",
  incomplete: "stopped",
  error: "error",
  full: "no_room",
  in_use: "busy",
  no_such: "unknown",
};

const MAX_MACHINE_NAME_LENGTH = 100;
const ADDRESS = /^[\d.]+:\d{1,5}$/;
/** Text before the first entry of the task list, where the list follows another field. */
const TASK_LIST_MARKER = ',"shards":[';

/** Returns the JSON text of the task list in a machine's previous heartbeat; null: not available. */
export type PreviousTaskListText = (machine: string) => string | null;

/**
 * Decodes a heartbeat. Most heartbeats contain no change: a task list whose text equals that of the previous heartbeat
 * (`previousTaskListText`) is not decoded again. Throws MalformedMessageError or SyntaxError.
 */
export const decodeHeartbeatText = (text: string, previousTaskListText: PreviousTaskListText): Heartbeat => {
  const listStart = text.indexOf(TASK_LIST_MARKER);
  if (listStart <= 0) return decodeHeartbeat(parseJson(text));
  const taskListText = text.slice(listStart);
  return (
    decodeWithUnchangedTaskList(text.slice(0, listStart), taskListText, previousTaskListText) ??
    decodeHeartbeatFields(parseJson(text), taskListText, false)
  );
};

/**
 * Decodes a heartbeat whose task list is unchanged; null where that is not certain. `head`, the text before the list,
 * must be a valid object once a closing brace is added. Only then is the list a top-level field, so that equal text
 * means an equal list.
 */
const decodeWithUnchangedTaskList = (
  head: string,
  taskListText: string,
  previousTaskListText: PreviousTaskListText,
): Heartbeat | null => {
  try {
    const fields = asObject(parseJson(`${head}}`), "report");
    if (typeof fields.host !== "string" || previousTaskListText(fields.host) !== taskListText) return null;
    return decodeHeartbeatFields(fields, taskListText, true);
  } catch {
    // Required fields may follow the list, or the marker may be inside a string: the whole text has to be decoded.
    return null;
  }
};

/** Decodes a heartbeat from parsed JSON. Throws MalformedMessageError. */
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

/** Builds a task status from the protocol's keywords for the task's state and the cause of its exit. */
export const taskStatusOf = (task: string, attempt: Uint64, phase: string, cause: string | null): TaskStatus => {
  // A task in an unknown state still uses resources of the machine, so it counts as running.
  const state = STATE_BY_KEYWORD[phase] ?? "running";
  return { task, attempt, state, reason: state === "exited" ? (REASON_BY_KEYWORD[cause ?? ""] ?? "error") : null };
};

/** Encodes the response to a heartbeat: the fencing token of this leader, and commands. */
export const encodeHeartbeatResponse = (token: Uint64, commands: readonly Command[]): JsonObject => ({
  baton: token,
  orders: commands.map(encodeCommand),
});

/** Encodes a command request, which only the given incarnation of the worker executes. */
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

/**
 * Encodes the response that redirects a worker to the leader of its shard. `leaderAddress`: "host:port"; null: unknown.
 */
export const encodeRedirect = (leaderAddress: string | null): JsonObject =>
  leaderAddress === null ? {} : { steward: leaderAddress };
