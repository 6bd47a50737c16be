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

export interface KeyValueEntry {
  readonly key: string;
  readonly value: unknown;
  readonly version: Uint64;
}

export type KeyChange =
  | { readonly kind: "put"; readonly key: string; readonly value: unknown; readonly version: Uint64 }
  | { readonly kind: "delete"; readonly key: string; readonly version: Uint64 };

export type WriteOperation =
  | { readonly kind: "put"; readonly key: string; readonly value: unknown; readonly lease?: Uint64 }
  | { readonly kind: "delete"; readonly key: string };

export const decodeEntry = (value: unknown): KeyValueEntry => {
  const fields = asObject(value, "entry");
  return { key: readString(fields, "k"), value: fields.value, version: readUint64(fields, "stamp") };
};

export const decodeEntryPage = (
  body: unknown,
): { entries: readonly KeyValueEntry[]; more: boolean; revision: Uint64 } => {
  const fields = asObject(body, "entries");
  return {
    entries: asArray(fields.entries, "entries").map(decodeEntry),
    more: readBoolean(fields, "more"),
    revision: readUint64(fields, "epoch"),
  };
};

export const decodeChanges = (body: unknown): { changes: readonly KeyChange[]; revision: Uint64 } => {
  const fields = asObject(body, "changes");
  const changes = asArray(fields.log ?? [], "log").map((entry): KeyChange => {
    const item = asObject(entry, "change");
    const version = readUint64(item, "stamp");
    const removed = readOptional(item, "remove", readString);
    if (removed !== null) return { kind: "delete", key: removed, version };
    return { kind: "put", key: readString(item, "set"), value: item.value, version };
  });
  return { changes, revision: readUint64(fields, "epoch") };
};

export const encodeTransaction = (
  conditions: ReadonlyMap<string, Uint64>,
  writes: readonly WriteOperation[],
): JsonObject => ({
  if: [...conditions].map(([key, version]) => ({ k: key, stamp: version })),
  writes: writes.map((write) => {
    if (write.kind === "delete") return { remove: write.key };
    const put = { set: write.key, value: write.value };
    return write.lease === undefined ? put : { ...put, hold: write.lease };
  }),
});

export const decodeRevision = (body: unknown): Uint64 => readUint64(asObject(body, "result"), "epoch");
export const decodeFailedKeys = (body: unknown): readonly string[] =>
  asArray(asObject(body, "conflict").failed, "failed").filter((key) => typeof key === "string");
export const decodeLeaseId = (body: unknown): Uint64 => readUint64(asObject(body, "lease"), "hold");
