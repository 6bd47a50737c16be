/**
 * Records of the terminal states of jobs.
 * @module
 */
import { asObject, type JsonObject, readNonNegative, readString } from "../protocol/json.js";
import { RecordCodec } from "../protocol/record-codec.js";
import { type CancellationReason, decodeCancellationReason } from "./cancellation-reason.js";

/** How a job ended. */
export interface OutcomeRecord {
  readonly phase: "done" | "cancelled";
  /** Number of its tasks that ended well. */
  readonly completedTasks: number;
  /** Where it was not its user who cancelled it. */
  readonly cancellationReason?: CancellationReason;
}

const outcomeCodec = new RecordCodec<OutcomeRecord>({
  phase: "phase",
  completedTasks: "done",
  cancellationReason: "why",
});

/** The stored form of an outcome. */
export const encodeOutcomeRecord = (record: OutcomeRecord): JsonObject => outcomeCodec.encode(record);

/** Reads an outcome. Throws `MalformedMessageError` where a field is missing or of the wrong type. */
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
