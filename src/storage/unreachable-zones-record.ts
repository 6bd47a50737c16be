/**
 * Record of the zones in which no worker responds; it survives a change of the shard's leader.
 * @module
 */
import { asObject, type JsonObject, readNonNegative } from "../protocol/json.js";
import { RecordCodec } from "../protocol/record-codec.js";

/** The unreachable zones of a shard. */
export interface UnreachableZonesRecord {
  /** The shard epoch under which this was written. */
  readonly epoch: number;
  /** By zone: wall-clock time (milliseconds) since which no worker there has responded. */
  readonly unansweredSinceMs: Readonly<Record<string, number>>;
}

const unreachableZonesCodec = new RecordCodec<UnreachableZonesRecord>({ epoch: "number", unansweredSinceMs: "zones" });

/** Encodes the unreachable zones for the key-value store. */
export const encodeUnreachableZones = (record: UnreachableZonesRecord): JsonObject =>
  unreachableZonesCodec.encode(record);

/** Decodes the unreachable zones. Throws `MalformedMessageError` where a field is missing or of the wrong type. */
export const decodeUnreachableZones = (value: unknown): UnreachableZonesRecord => {
  const fields = asObject(value, "silence");
  const zones = asObject(fields.zones, "zones");
  return {
    epoch: readNonNegative(fields, "number"),
    unansweredSinceMs: Object.fromEntries(Object.keys(zones).map((zone) => [zone, readNonNegative(zones, zone)])),
  };
};
