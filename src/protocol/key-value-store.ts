/** Messages of the key-value store: entries, changes since a revision, compare-and-swap transactions, leases. */
import {
  asArray,
  asObject,
  type JsonObject,
  readBoolean,
  readOptional,
  readString,
  readUint64,
  type Uint64,
} from "./json.js";

/** A key and its value. `version`: the revision at which the key was last written. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: unknown;
  readonly version: Uint64;
}

/** A change reported by a watch. */
export type KeyChange =
  | { readonly kind: "put"; readonly key: string; readonly value: unknown; readonly version: Uint64 }
  | { readonly kind: "delete"; readonly key: string; readonly version: Uint64 };

/** One write of a transaction. A key with a `lease` is deleted when the lease expires. */
export type WriteOperation =
  | { readonly kind: "put"; readonly key: string; readonly value: unknown; readonly lease?: Uint64 }
  | { readonly kind: "delete"; readonly key: string };

/** One page of the entries below a prefix, read at `revision`. */
export interface EntryPage {
  readonly entries: readonly KeyValueEntry[];
  /** Whether there are further pages. */
  readonly more: boolean;
  readonly revision: Uint64;
}

/** Changes in revision order, up to and including those of `revision`. */
export interface ChangeLog {
  readonly changes: readonly KeyChange[];
  readonly revision: Uint64;
}

/** Decodes one entry. Throws MalformedMessageError, as all decoders here do. */
export const decodeEntry = (value: unknown): KeyValueEntry => {
  const fields = asObject(value, "entry");
  return { key: readString(fields, "k"), value: fields.value, version: readUint64(fields, "stamp") };
};

/** Decodes a page of entries. */
export const decodeEntryPage = (body: unknown): EntryPage => {
  const fields = asObject(body, "entries");
  return {
    entries: asArray(fields.entries, "entries").map(decodeEntry),
    more: readBoolean(fields, "more"),
    revision: readUint64(fields, "epoch"),
  };
};

/** Decodes the response to a watch. */
export const decodeChanges = (body: unknown): ChangeLog => {
  const fields = asObject(body, "changes");
  const changes = asArray(fields.log ?? [], "log").map(decodeChange);
  return { changes, revision: readUint64(fields, "epoch") };
};

const decodeChange = (value: unknown): KeyChange => {
  const fields = asObject(value, "change");
  const version = readUint64(fields, "stamp");
  const deletedKey = readOptional(fields, "remove", readString);
  if (deletedKey !== null) return { kind: "delete", key: deletedKey, version };
  return { kind: "put", key: readString(fields, "set"), value: fields.value, version };
};

/**
 * Encodes a compare-and-swap transaction, which applies all `writes` if each key of `conditions` has the given version
 * (0: the key does not exist).
 */
export const encodeTransaction = (
  conditions: ReadonlyMap<string, Uint64>,
  writes: readonly WriteOperation[],
): JsonObject => ({
  if: [...conditions].map(([key, version]) => ({ k: key, stamp: version })),
  writes: writes.map(encodeWrite),
});

const encodeWrite = (write: WriteOperation): JsonObject => {
  if (write.kind === "delete") return { remove: write.key };
  const put = { set: write.key, value: write.value };
  return write.lease === undefined ? put : { ...put, hold: write.lease };
};

/** Decodes the revision of a committed transaction. */
export const decodeRevision = (body: unknown): Uint64 => readUint64(asObject(body, "result"), "epoch");

/** Decodes the keys whose conditions failed. */
export const decodeFailedKeys = (body: unknown): readonly string[] =>
  asArray(asObject(body, "conflict").failed, "failed").filter((key) => typeof key === "string");

/** Decodes the id of a granted lease. */
export const decodeLeaseId = (body: unknown): Uint64 => readUint64(asObject(body, "lease"), "hold");
