/** Mapping of objects in memory to records, and back, by tables of the stored names of their fields. */
import type { JsonObject } from "./json.js";

/** How a value is stored, where it is not stored as it is. */
export interface ValueCodec<V> {
  /** What is stored of a value. */
  encode(value: V): unknown;
  /** The value of which this is stored. */
  decode(stored: unknown): V;
}

/** The stored name of a field, with the codec of its value (of each entry, where the value is a list). */
type FieldCodec<V> = string | { readonly name: string; readonly codec: ValueCodec<EntryOf<NonNullable<V>>> };

type EntryOf<V> = V extends readonly (infer Entry)[] ? Entry : V;

type FieldCodecs<T> = { readonly [Field in keyof T]-?: FieldCodec<T[Field]> };

/** The name of a field on the other side, and the codec of its value; null: it is stored as it is. */
interface MappedField {
  readonly name: string;
  readonly codec: ValueCodec<unknown> | null;
}

const apply = (codec: ValueCodec<unknown> | null, direction: "encode" | "decode", value: unknown): unknown => {
  if (codec === null || value === undefined || value === null) return value;
  if (Array.isArray(value)) return value.map((entry: unknown) => codec[direction](entry));
  return codec[direction](value);
};

/** Sets a field that is not in the table, whose name may be any: `__proto__` is a field like all others. */
const setOwn = (target: Record<string, unknown>, name: string, value: unknown): void => {
  if (name === "__proto__")
    Object.defineProperty(target, name, { value, enumerable: true, configurable: true, writable: true });
  else target[name] = value;
};

/**
 * Maps an object in memory to what is stored of it, and back, by a table of the stored name of each field. The order of
 * fields is kept, fields that are absent stay absent, and fields that are not in the table, which a newer version may
 * have stored, are carried along. Values are not checked: such records are written by this program alone.
 */
export class RecordCodec<T extends object> implements ValueCodec<T> {
  private readonly mappedByField = new Map<string, MappedField>();
  private readonly mappedByStoredName = new Map<string, MappedField>();

  /** `fields`: every field of `T`, in any order. */
  constructor(fields: FieldCodecs<T>) {
    const entries: [string, FieldCodec<unknown>][] = Object.entries(fields);
    for (const [field, mapped] of entries) {
      const { name, codec } = typeof mapped === "string" ? { name: mapped, codec: null } : mapped;
      this.mappedByField.set(field, { name, codec });
      this.mappedByStoredName.set(name, { name: field, codec });
    }
  }

  /** What is stored of these fields. */
  encode(value: Partial<T>): JsonObject {
    const stored: Record<string, unknown> = {};
    for (const field of Object.keys(value)) {
      const fieldValue = value[field as keyof T];
      const mapped = this.mappedByField.get(field);
      if (mapped === undefined) setOwn(stored, field, fieldValue);
      else stored[mapped.name] = apply(mapped.codec, "encode", fieldValue);
    }
    return stored;
  }

  /** The object of which this is stored; not checked. */
  decode(stored: unknown): T {
    const fields = stored as JsonObject;
    const value: Record<string, unknown> = {};
    for (const name of Object.keys(fields)) {
      const fieldValue = fields[name];
      const mapped = this.mappedByStoredName.get(name);
      if (mapped !== undefined) value[mapped.name] = apply(mapped.codec, "decode", fieldValue);
      // An unknown field must not pass for the field that has its name in memory.
      else if (!this.mappedByField.has(name)) setOwn(value, name, fieldValue);
    }
    return value as T;
  }
}
