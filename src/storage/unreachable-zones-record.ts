/**
 * Record of the zones in which no worker answers, kept across a change of the shard's leader.
 * @module
 */
import { asObject, type JsonObject, readNonNegative } from "../protocol/json.js";
import { RecordCodec } from "../protocol/record-codec.js";

/** The zones of a shard without contact. */
export interface UnreachableZonesRecord {
  /** The shard epoch under which this was written. */
  readonly epoch: number;
  /** By zone, the time of day (milliseconds) after which no worker there has answered. */
  readonly unansweredSinceMs: Readonly<Record<string, number>>;
}

const unreachableZonesCodec = new RecordCodec<UnreachableZonesRecord>({ epoch: "number", unansweredSinceMs: "zones" });

/** The stored form of the zones without contact. */
export const encodeUnreachableZones = (record: UnreachableZonesRecord): JsonObject =>
  unreachableZonesCodec.encode(record);

/** Reads the zones without contact. Throws `MalformedMessageError` where a field is missing or of the wrong type. */
export const decodeUnreachableZones = (value: unknown): UnreachableZonesRecord => {
  const fields = asObject(value, "silence");
  const zones = asObject(fields.zones, "zones");
  return {
    epoch: readNonNegative(fields, "number"),
    unansweredSinceMs: Object.fromEntries(Object.keys(zones).map((zone) => [zone, readNonNegative(zones, zone)])),
  };
};
