/**
 * Records of task ranges: consecutive tasks of one job, stored in one value.
 * @module
 */
import { asArray, asObject, MalformedMessageError } from "../protocol/json.js";

/** What is durable of one task. `attempt` is the last one used; a machine means that the task may be running there. */
export type TaskRecord =
  | { readonly kind: "waiting"; readonly attempt: number }
  | { readonly kind: "placed"; readonly attempt: number; readonly machine: string }
  | { readonly kind: "done" };

/** Stored in place of an attempt where the task is done. */
const DONE_MARK = -1;
/** `{"t":[` and `]}`, as sent. */
const RANGE_FRAME_BYTES = 8;
/** `-1,` as sent. */
const DONE_BYTES = 3;
/** The comma after a waiting task's attempt. */
const WAITING_FRAME_BYTES = 1;
/** Brackets, commas and quotation marks about a placed task's attempt and machine. */
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

/** Size of a range's value as sent, in bytes. */
export const taskRangeBytes = (records: readonly TaskRecord[]): number => {
  let bytes = RANGE_FRAME_BYTES;
  for (const record of records) {
    if (record.kind === "done") bytes += DONE_BYTES;
    else if (record.kind === "waiting") bytes += String(record.attempt).length + WAITING_FRAME_BYTES;
    else bytes += String(record.attempt).length + Buffer.byteLength(record.machine) + PLACED_FRAME_BYTES;
  }
  return bytes;
};

/** The stored form of a range: an attempt, or an attempt with a machine, or a mark for a task that is done. */
export const encodeTaskRange = (tasks: readonly TaskRecord[]): unknown => ({ t: tasks.map(encodeTask) });

/** Reads a range. Throws `MalformedMessageError` where an entry has none of the three forms. */
export const decodeTaskRange = (value: unknown): readonly TaskRecord[] =>
  asArray(asObject(value, "range").t, "t").map(decodeTask);
