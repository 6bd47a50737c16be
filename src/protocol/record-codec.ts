/** Conversion between in-memory objects and stored records, by tables of stored field names. */
import type { JsonObject } from "./json.js";

/** Converts a value to its stored form and back, for values that are not stored unchanged. */
export interface ValueCodec<V> {
  /** Returns the stored form of the value. */
  encode(value: V): unknown;
  /** Returns the value with this stored form. */
  decode(stored: unknown): V;
}

/** Stored name of a field, optionally with the codec of its value (of each entry, where the value is an array). */
type FieldCodec<V> = string | { readonly name: string; readonly codec: ValueCodec<ElementOf<NonNullable<V>>> };

type ElementOf<V> = V extends readonly (infer Entry)[] ? Entry : V;

type FieldCodecs<T> = { readonly [Field in keyof T]-?: FieldCodec<T[Field]> };

/** Name of a field in the opposite form (stored or in memory), and the codec of its value; null: stored unchanged. */
interface MappedField {
  readonly name: string;
  readonly codec: ValueCodec<unknown> | null;
}

const applyCodec = (codec: ValueCodec<unknown> | null, direction: "encode" | "decode", value: unknown): unknown => {
  if (codec === null || value === undefined || value === null) return value;
  if (Array.isArray(value)) return value.map((entry: unknown) => codec[direction](entry));
  return codec[direction](value);
};

/**
 * Sets a field that is not in the table. Its name is arbitrary, so `__proto__` must become an ordinary own property.
 */
const setOwnField = (target: Record<string, unknown>, name: string, value: unknown): void => {
  if (name === "__proto__")
    Object.defineProperty(target, name, { value, enumerable: true, configurable: true, writable: true });
  else target[name] = value;
};

/**
 * Converts an in-memory object to its stored form and back, by a table of the stored name of each field. The order of
 * fields is preserved, absent fields stay absent, and fields that are not in the table, which a newer version may have
 * stored, are preserved. Values are not validated, since only this program writes such records.
 */
export class RecordCodec<T extends object> implements ValueCodec<T> {
  private readonly mappedByField = new Map<string, MappedField>();
  private readonly mappedByStoredName = new Map<string, MappedField>();

  /** `fields`: the stored name of every field of `T`, in any order. */
  constructor(fields: FieldCodecs<T>) {
    const entries: [string, FieldCodec<unknown>][] = Object.entries(fields);
    for (const [field, mapped] of entries) {
      const { name, codec } = typeof mapped === "string" ? { name: mapped, codec: null } : mapped;
      this.mappedByField.set(field, { name, codec });
      this.mappedByStoredName.set(name, { name: field, codec });
    }
  }

  /** Returns the stored form of the given fields. */
  encode(value: Partial<T>): JsonObject {
    const stored: Record<string, unknown> = {};
    for (const field of Object.keys(value)) {
      const fieldValue = value[field as keyof T];
      const mapped = this.mappedByField.get(field);
      if (mapped === undefined) setOwnField(stored, field, fieldValue);
      else stored[mapped.name] = applyCodec(mapped.codec, "encode", fieldValue);
    }
    return stored;
  }

  /** Returns the object with this stored form, without validation. */
  decode(stored: unknown): T {
    const fields = stored as JsonObject;
    const value: Record<string, unknown> = {};
    for (const name of Object.keys(fields)) {
      const fieldValue = fields[name];
      const mapped = this.mappedByStoredName.get(name);
      if (mapped !== undefined) value[mapped.name] = applyCodec(mapped.codec, "decode", fieldValue);
      // An unknown stored field is dropped if it has the in-memory name of a known field, for which it would be
      // mistaken.
      else if (!this.mappedByField.has(name)) setOwnField(value, name, fieldValue);
    }
    return value as T;
  }
}
