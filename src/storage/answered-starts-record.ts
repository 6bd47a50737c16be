/**
 * Record of the start commands that were answered, kept across a change of the shard's leader.
 * @module
 */
import { asObject, type JsonObject, readNames, readNonNegative, readUint64, type Uint64 } from "../protocol/json.js";
import { RecordCodec } from "../protocol/record-codec.js";

/** Which of a shard's placed tasks have no start command without a response, as far as their leader knows. */
export interface AnsweredStartsRecord {
  /** The shard epoch under which this was written. */
  readonly epoch: number;
  /** Placements in range records of this version or a lower one are meant. */
  readonly revision: Uint64;
  /** Machines whose placements are excepted. */
  readonly unansweredMachines: readonly string[];
}

const answeredStartsCodec = new RecordCodec<AnsweredStartsRecord>({
  epoch: "number",
  revision: "upTo",
  unansweredMachines: "machines",
});

/** The stored form of the answered starts. */
export const encodeAnsweredStarts = (record: AnsweredStartsRecord): JsonObject => answeredStartsCodec.encode(record);

/** Reads the answered starts. Throws `MalformedMessageError` where a field is missing or of the wrong type. */
export const decodeAnsweredStarts = (value: unknown): AnsweredStartsRecord => {
  const fields = asObject(value, "answered");
  return {
    epoch: readNonNegative(fields, "number"),
    revision: readUint64(fields, "upTo"),
    unansweredMachines: readNames(fields, "machines"),
  };
};
