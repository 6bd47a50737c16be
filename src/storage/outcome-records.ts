/**
 * Outcome records: the terminal states of jobs.
 * @module
 */
import { asObject, type JsonObject, readNonNegative, readString } from "../protocol/json.js";
import { RecordCodec } from "../protocol/record-codec.js";
import { type CancellationReason, decodeCancellationReason } from "./cancellation-reason.js";

/** Terminal state of a job. */
export interface OutcomeRecord {
  readonly phase: "done" | "cancelled";
  /** Number of tasks that completed successfully. */
  readonly completedTasks: number;
  /** Absent where the job is done, or where its user cancelled it. */
  readonly cancellationReason?: CancellationReason;
}

const outcomeCodec = new RecordCodec<OutcomeRecord>({
  phase: "phase",
  completedTasks: "done",
  cancellationReason: "why",
});

/** Encodes an outcome record for the key-value store. */
export const encodeOutcomeRecord = (record: OutcomeRecord): JsonObject => outcomeCodec.encode(record);

/** Decodes an outcome record. Throws `MalformedMessageError` where a field is missing or of the wrong type. */
export const decodeOutcomeRecord = (value: unknown): OutcomeRecord => {
  const fields = asObject(value, "end");
  const phase = readString(fields, "phase") === "done" ? "done" : "cancelled";
  const reason = decodeCancellationReason(fields);
  return {
    phase,
    completedTasks: readNonNegative(fields, "done"),
    ...(reason === undefined ? {} : { cancellationReason: reason }),
  };
};
