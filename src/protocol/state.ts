import { asArray, asObject, type Fields, orNull, readBoolean, readString, readWhole, type Whole } from "./json.js";

export interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly version: Whole;
}

export type Change =
  | { readonly kind: "put"; readonly key: string; readonly value: unknown; readonly version: Whole }
  | { readonly kind: "delete"; readonly key: string; readonly version: Whole };

export type Write =
  | { readonly kind: "put"; readonly key: string; readonly value: unknown; readonly lease?: Whole }
  | { readonly kind: "delete"; readonly key: string };

export const readEntry = (value: unknown): Entry => {
  const fields = asObject(value, "entry");
  return { key: readString(fields, "k"), value: fields.value, version: readWhole(fields, "stamp") };
};

export const readEntries = (body: unknown): { entries: readonly Entry[]; more: boolean; revision: Whole } => {
  const fields = asObject(body, "entries");
  return {
    entries: asArray(fields.entries, "entries").map(readEntry),
    more: readBoolean(fields, "more"),
    revision: readWhole(fields, "epoch"),
  };
};

export const readChanges = (body: unknown): { changes: readonly Change[]; revision: Whole } => {
  const fields = asObject(body, "changes");
  const changes = asArray(fields.log ?? [], "log").map((entry): Change => {
    const item = asObject(entry, "change");
    const version = readWhole(item, "stamp");
    const removed = orNull(item, "remove", readString);
    if (removed !== null) return { kind: "delete", key: removed, version };
    return { kind: "put", key: readString(item, "set"), value: item.value, version };
  });
  return { changes, revision: readWhole(fields, "epoch") };
};

export const transactionRequest = (conditions: ReadonlyMap<string, Whole>, writes: readonly Write[]): Fields => ({
  if: [...conditions].map(([key, version]) => ({ k: key, stamp: version })),
  writes: writes.map((write) => {
    if (write.kind === "delete") return { remove: write.key };
    const put = { set: write.key, value: write.value };
    return write.lease === undefined ? put : { ...put, hold: write.lease };
  }),
});

export const readRevision = (body: unknown): Whole => readWhole(asObject(body, "result"), "epoch");
export const readFailed = (body: unknown): readonly string[] =>
  asArray(asObject(body, "conflict").failed, "failed").filter((key) => typeof key === "string");
export const readLease = (body: unknown): Whole => readWhole(asObject(body, "lease"), "hold");
