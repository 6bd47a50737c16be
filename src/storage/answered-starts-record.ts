/**
 * Record of which start commands received a response; it survives a change of the shard's leader.
 * @module
 */
import { asObject, type JsonObject, readNames, readNonNegative, readUint64, type Uint64 } from "../protocol/json.js";
import { RecordCodec } from "../protocol/record-codec.js";

/**
 * The placements of a shard for which, according to its leader, no start command is without a response: those in range
 * records up to `revision`, except on `unansweredMachines`.
 */
export interface AnsweredStartsRecord {
  /** The shard epoch under which this was written. */
  readonly epoch: number;
  /** Highest version of the task range records that are covered. */
  readonly revision: Uint64;
  /** Machines whose placements are not covered. */
  readonly unansweredMachines: readonly string[];
}

const answeredStartsCodec = new RecordCodec<AnsweredStartsRecord>({
  epoch: "number",
  revision: "upTo",
  unansweredMachines: "machines",
});

/** Encodes the record for the key-value store. */
export const encodeAnsweredStarts = (record: AnsweredStartsRecord): JsonObject => answeredStartsCodec.encode(record);

/** Decodes the stored record. Throws `MalformedMessageError` where a field is missing or of the wrong type. */
export const decodeAnsweredStarts = (value: unknown): AnsweredStartsRecord => {
  const fields = asObject(value, "answered");
  return {
    epoch: readNonNegative(fields, "number"),
    revision: readUint64(fields, "upTo"),
    unansweredMachines: readNames(fields, "machines"),
  };
};
