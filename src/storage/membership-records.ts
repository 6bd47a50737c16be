/**
 * Records of the controllers that take part, of the cluster leader and of the leases of shards. Decoders throw
 * `MalformedMessageError` where a field is missing or of the wrong type, unless they say otherwise.
 * @module
 */
import { asObject, type JsonObject, readNonNegative, readString, readUint64, type Uint64 } from "../protocol/json.js";
import { RecordCodec } from "../protocol/record-codec.js";

/** A controller that takes part, attached to its lease. */
export interface MemberRecord {
  /** The lease in the key-value store that the controller renews. */
  readonly leaseId: Uint64;
  /** Of the process: a restart has another. */
  readonly incarnation: string;
}

/** Whose shard it is, attached to that controller's lease. */
export interface ShardRecord {
  /** Label of the controller. */
  readonly label: string;
  /** Incarnation of the controller's process. */
  readonly incarnation: string;
  /** Counted up over all shards each time that one is assigned. */
  readonly epoch: number;
}

/** The controller that assigns shards, attached to its lease. */
export interface ClusterLeaderRecord {
  /** Label of the controller. */
  readonly label: string;
  /** Incarnation of the controller's process. */
  readonly incarnation: string;
}

/** The last shard epoch that was given out, kept while no shard is assigned. */
export interface ShardEpochRecord {
  /** 0 while none was given out. */
  readonly epoch: number;
}

const memberCodec = new RecordCodec<MemberRecord>({ leaseId: "lease", incarnation: "incarnation" });
const shardCodec = new RecordCodec<ShardRecord>({ label: "label", incarnation: "incarnation", epoch: "number" });
const clusterLeaderCodec = new RecordCodec<ClusterLeaderRecord>({ label: "label", incarnation: "incarnation" });
const shardEpochCodec = new RecordCodec<ShardEpochRecord>({ epoch: "number" });

/** The stored form of a member. */
export const encodeMemberRecord = (record: MemberRecord): JsonObject => memberCodec.encode(record);

/** Reads a member. */
export const decodeMemberRecord = (value: unknown): MemberRecord => {
  const fields = asObject(value, "member");
  return { leaseId: readUint64(fields, "lease"), incarnation: readString(fields, "incarnation") };
};

/** The stored form of a shard's lease. */
export const encodeShardRecord = (record: ShardRecord): JsonObject => shardCodec.encode(record);

/** Reads a shard's lease. */
export const decodeShardRecord = (value: unknown): ShardRecord => {
  const fields = asObject(value, "block");
  return {
    label: readString(fields, "label"),
    incarnation: readString(fields, "incarnation"),
    epoch: readNonNegative(fields, "number"),
  };
};

/** The stored form of the cluster leader. */
export const encodeClusterLeaderRecord = (record: ClusterLeaderRecord): JsonObject => clusterLeaderCodec.encode(record);

/**
 * Whether the stored cluster leader is this process. A record without an incarnation, or with one that is no string, is
 * another's: it goes with the lease that it is attached to. Throws `TypeError` where the value is null.
 */
export const isClusterLeader = (value: unknown, incarnation: string): boolean =>
  (value as Partial<Record<keyof ClusterLeaderRecord, unknown>>).incarnation === incarnation;

/** The stored form of the last shard epoch. */
export const encodeShardEpochRecord = (record: ShardEpochRecord): JsonObject => shardEpochCodec.encode(record);

/** Reads the last shard epoch. Never throws: where there is none, or no record at all, it is 0. */
export const decodeShardEpochRecord = (value: unknown): ShardEpochRecord => {
  const stored = value as { readonly number?: unknown } | null | undefined;
  return { epoch: Number(stored?.number ?? 0) };
};
