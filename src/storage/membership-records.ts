/**
 * Records of the member controllers, the cluster leader and the shard leases. Decoders throw `MalformedMessageError`
 * where a field is missing or of the wrong type, unless documented otherwise.
 * @module
 */
import { asObject, type JsonObject, readNonNegative, readString, readUint64, type Uint64 } from "../protocol/json.js";
import { RecordCodec } from "../protocol/record-codec.js";

/** Membership of a controller, attached to its lease. */
export interface MemberRecord {
  /** The lease in the key-value store that the controller renews. */
  readonly leaseId: Uint64;
  /** Identifies the process; a restarted controller has another one. */
  readonly incarnation: string;
}

/** The leader of a shard, attached to that controller's lease. */
export interface ShardRecord {
  /** Label of the controller. */
  readonly label: string;
  /** Incarnation of the controller's process. */
  readonly incarnation: string;
  /** Incremented with each assignment of any shard, so that no two assignments share an epoch. */
  readonly epoch: number;
}

/** The controller that assigns the shards, attached to its lease. */
export interface ClusterLeaderRecord {
  /** Label of the controller. */
  readonly label: string;
  /** Incarnation of the controller's process. */
  readonly incarnation: string;
}

/** The shard epoch assigned last; kept even while no shard is assigned. */
export interface ShardEpochRecord {
  /** 0 before the first assignment. */
  readonly epoch: number;
}

const memberCodec = new RecordCodec<MemberRecord>({ leaseId: "lease", incarnation: "incarnation" });
const shardCodec = new RecordCodec<ShardRecord>({ label: "label", incarnation: "incarnation", epoch: "number" });
const clusterLeaderCodec = new RecordCodec<ClusterLeaderRecord>({ label: "label", incarnation: "incarnation" });
const shardEpochCodec = new RecordCodec<ShardEpochRecord>({ epoch: "number" });

/** Encodes a membership record for the key-value store. */
export const encodeMemberRecord = (record: MemberRecord): JsonObject => memberCodec.encode(record);

/** Decodes a membership record. */
export const decodeMemberRecord = (value: unknown): MemberRecord => {
  const fields = asObject(value, "member");
  return { leaseId: readUint64(fields, "lease"), incarnation: readString(fields, "incarnation") };
};

/** Encodes a shard lease for the key-value store. */
export const encodeShardRecord = (record: ShardRecord): JsonObject => shardCodec.encode(record);

/** Decodes a shard lease. */
export const decodeShardRecord = (value: unknown): ShardRecord => {
  const fields = asObject(value, "block");
  return {
    label: readString(fields, "label"),
    incarnation: readString(fields, "incarnation"),
    epoch: readNonNegative(fields, "number"),
  };
};

/** Encodes the cluster leader for the key-value store. */
export const encodeClusterLeaderRecord = (record: ClusterLeaderRecord): JsonObject => clusterLeaderCodec.encode(record);

/**
 * Whether the stored cluster leader is the process with this incarnation. A record without an incarnation, or with one
 * that is not a string, belongs to another process and is deleted when the lease attached to it expires. Throws
 * `TypeError` where the value is null.
 */
export const isClusterLeader = (value: unknown, incarnation: string): boolean =>
  (value as Partial<Record<keyof ClusterLeaderRecord, unknown>>).incarnation === incarnation;

/** Encodes the last shard epoch for the key-value store. */
export const encodeShardEpochRecord = (record: ShardEpochRecord): JsonObject => shardEpochCodec.encode(record);

/** Decodes the last shard epoch; 0 where the field or the whole record is missing. Never throws for these. */
export const decodeShardEpochRecord = (value: unknown): ShardEpochRecord => {
  const stored = value as { readonly number?: unknown } | null | undefined;
  return { epoch: Number(stored?.number ?? 0) };
};
