import type { JsonObject } from "./json.js";

/** How a value of a field is stored, where it is not stored as it is. */
export interface ValueCodec<V> {
  encode(value: V): unknown;
  decode(stored: unknown): V;
}

/** The stored name of a field, with the form of its value (of each entry, where the value is a list). */
type FieldCodec<V> = string | { readonly name: string; readonly codec: ValueCodec<EntryOf<NonNullable<V>>> };

type EntryOf<V> = V extends readonly (infer Entry)[] ? Entry : V;

type FieldCodecs<T> = { readonly [Field in keyof T]-?: FieldCodec<T[Field]> };

interface KnownField {
  readonly name: string;
  readonly codec: ValueCodec<unknown> | null;
}

const mapEntries = (value: unknown, map: (entry: unknown) => unknown): unknown => {
  if (value === undefined || value === null) return value;
  return Array.isArray(value) ? value.map(map) : map(value);
};

/**
 * Maps an object in memory to what is stored of it, and back, by a table of the stored name of each field. The order of
 * fields is kept, fields that are absent stay absent, and fields that are not in the table, which a newer version may
 * have stored, are carried along. Values are not checked: such records are written by this program alone.
 */
export class RecordCodec<T extends object> implements ValueCodec<T> {
  private readonly byField = new Map<string, KnownField>();
  private readonly byName = new Map<string, KnownField>();

  constructor(fields: FieldCodecs<T>) {
    const entries: [string, FieldCodec<unknown>][] = Object.entries(fields);
    for (const [field, known] of entries) {
      const { name, codec } = typeof known === "string" ? { name: known, codec: null } : known;
      this.byField.set(field, { name, codec });
      this.byName.set(name, { name: field, codec });
    }
  }

  encode(value: Partial<T>): JsonObject {
    const entries = Object.entries<unknown>(value).map(([field, inner]): [string, unknown] => {
      const known = this.byField.get(field);
      if (known === undefined) return [field, inner];
      const { name, codec } = known;
      return [name, codec === null ? inner : mapEntries(inner, (entry) => codec.encode(entry))];
    });
    return Object.fromEntries(entries);
  }

  decode(stored: unknown): T {
    const entries = Object.entries<unknown>(stored as JsonObject).flatMap(([name, inner]): [string, unknown][] => {
      const known = this.byName.get(name);
      // An unknown field must not pass for the field that has its name in memory.
      if (known === undefined) return this.byField.has(name) ? [] : [[name, inner]];
      const { name: field, codec } = known;
      return [[field, codec === null ? inner : mapEntries(inner, (entry) => codec.decode(entry))]];
    });
    return Object.fromEntries(entries) as T;
  }
}
