/** Reads typed fields of the TOML tables of the settings. Errors name the field by its full path. */
import { type Micros, seconds } from "../transport/clock.js";
import { SettingsError } from "./errors.js";

/** A table as returned by the TOML parser. */
export type TomlTable = Readonly<Record<string, unknown>>;

const ENDPOINT = /^\d{1,3}(?:\.\d{1,3}){3}:(\d{1,5})$/;
const MAX_PORT = 65_535;

/** Throws a SettingsError that names the field at `path` and its problem. */
export const failSetting = (path: string, problem: string): never => {
  throw new SettingsError(`${path}: ${problem}`);
};

/** A table with its path in the file. Typed getters throw SettingsError if the field is invalid. */
export class SettingsTable {
  /** `prefix`: path that precedes field names, ending in a dot; empty for the root table. */
  constructor(
    private readonly fields: TomlTable,
    private readonly prefix: string,
  ) {}

  /** The table in `value`, a list entry or an optional field. `path`: named in the error if it is not a table. */
  static from(value: unknown, prefix: string, path = prefix): SettingsTable {
    if (typeof value !== "object" || value === null) return failSetting(path, "not a table");
    return new SettingsTable(value as TomlTable, prefix);
  }

  /** Full path of a field of this table. */
  pathOf(name: string): string {
    return this.prefix + name;
  }

  /** Whether the field is present. */
  has(name: string): boolean {
    return this.fields[name] !== undefined;
  }

  /** The value of a field, unchecked. */
  value(name: string): unknown {
    return this.fields[name];
  }

  /** A required table. */
  table(name: string): SettingsTable {
    const value = this.fields[name];
    const path = this.pathOf(name);
    if (Array.isArray(value) || typeof value !== "object" || value === null) {
      return failSetting(path, "missing or not a table");
    }
    return new SettingsTable(value as TomlTable, `${path}.`);
  }

  /** A list; empty if the field is absent. */
  list(name: string): readonly unknown[] {
    const value = this.fields[name] ?? [];
    return Array.isArray(value) ? value : failSetting(this.pathOf(name), "not a list");
  }

  /** A required non-empty string. */
  text(name: string): string {
    const value = this.fields[name];
    return typeof value === "string" && value !== ""
      ? value
      : failSetting(this.pathOf(name), "missing or not a string");
  }

  /** A required IPv4 address with a port, "10.0.0.1:8080". */
  endpoint(name: string): string {
    const value = this.text(name);
    const port = Number(ENDPOINT.exec(value)?.[1] ?? Number.NaN);
    if (port > 0 && port <= MAX_PORT) return value;
    return failSetting(this.pathOf(name), "not an address like 10.0.0.1:8080");
  }

  /** A required finite number of at least `minimum`. */
  number(name: string, minimum: number): number {
    const value = this.fields[name];
    const numeric = typeof value === "bigint" ? Number(value) : value;
    if (typeof numeric !== "number" || !Number.isFinite(numeric)) {
      return failSetting(this.pathOf(name), "missing or not a number");
    }
    return numeric >= minimum ? numeric : failSetting(this.pathOf(name), `must be at least ${minimum}`);
  }

  /** A required whole number of at least 1. */
  wholeNumber(name: string): number {
    const value = this.number(name, 1);
    return Number.isInteger(value) ? value : failSetting(this.pathOf(name), "not a whole number");
  }

  /** A number of at least 0; 0 if the field is absent. */
  optionalNumber(name: string): number {
    return this.has(name) ? this.number(name, 0) : 0;
  }

  /** A required duration of at least 0, given in seconds. */
  duration(name: string): Micros {
    return seconds(this.number(name, 0));
  }
}
