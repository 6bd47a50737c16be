/**
 * Task range records: the states of consecutive tasks of one job, stored in one value.
 * @module
 */
import { asArray, asObject, MalformedMessageError } from "../protocol/json.js";

/** Durable state of one task. `attempt` is the number last used; a `placed` task may be running on its machine. */
export type TaskRecord =
  | { readonly kind: "waiting"; readonly attempt: number }
  | { readonly kind: "placed"; readonly attempt: number; readonly machine: string }
  | { readonly kind: "done" };

/** Stored instead of an attempt number for a task that is done. */
const DONE_MARK = -1;
/** Encoded size of `{"t":[` and `]}`. */
const RANGE_FRAME_BYTES = 8;
/** Encoded size of `-1,`. */
const DONE_BYTES = 3;
/** Encoded size of the comma after a waiting task's attempt. */
const WAITING_FRAME_BYTES = 1;
/** Encoded size of the brackets, commas and quotation marks around a placed task's attempt and machine. */
const PLACED_FRAME_BYTES = 6;

const encodeTask = (task: TaskRecord): unknown => {
  switch (task.kind) {
    case "waiting":
      return task.attempt;
    case "placed":
      return [task.attempt, task.machine];
    case "done":
      return DONE_MARK;
  }
};

const decodeTask = (stored: unknown): TaskRecord => {
  if (stored === DONE_MARK) return { kind: "done" };
  if (typeof stored === "number") return { kind: "waiting", attempt: stored };
  const [attempt, machine] = asArray(stored, "task");
  if (typeof attempt !== "number" || typeof machine !== "string") throw new MalformedMessageError("task record");
  return { kind: "placed", attempt, machine };
};

/** Size of a range's encoded value in bytes. */
export const taskRangeBytes = (records: readonly TaskRecord[]): number => {
  let bytes = RANGE_FRAME_BYTES;
  for (const record of records) {
    if (record.kind === "done") bytes += DONE_BYTES;
    else if (record.kind === "waiting") bytes += String(record.attempt).length + WAITING_FRAME_BYTES;
    else bytes += String(record.attempt).length + Buffer.byteLength(record.machine) + PLACED_FRAME_BYTES;
  }
  return bytes;
};

/** Encodes a range; each task becomes an attempt number, a pair of attempt number and machine, or the mark for done. */
export const encodeTaskRange = (tasks: readonly TaskRecord[]): unknown => ({ t: tasks.map(encodeTask) });

/** Decodes a range. Throws `MalformedMessageError` where an entry has none of the three forms. */
export const decodeTaskRange = (value: unknown): readonly TaskRecord[] =>
  asArray(asObject(value, "range").t, "t").map(decodeTask);
