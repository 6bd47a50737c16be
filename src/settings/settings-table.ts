/** Reads typed fields of the settings' TOML tables. Errors name the field by its whole path. */
import { type Micros, seconds } from "../transport/clock.js";
import { SettingsError } from "./errors.js";

/** A table as the TOML parser gives it. */
export type TomlTable = Readonly<Record<string, unknown>>;

const ENDPOINT = /^\d{1,3}(?:\.\d{1,3}){3}:(\d{1,5})$/;
const MAX_PORT = 65_535;

/** Throws a SettingsError that names the field. */
export const failSetting = (path: string, problem: string): never => {
  throw new SettingsError(`${path}: ${problem}`);
};

/** A table that knows where in the file it stands. All its methods throw SettingsError where a field is invalid. */
export class SettingsTable {
  /** `prefix`: what precedes the name of a field in its path; empty for the file itself. */
  constructor(
    private readonly fields: TomlTable,
    private readonly prefix: string,
  ) {}

  /** The table in `value`, an entry of a list or an optional field. `path`: what an error names where it is none. */
  static from(value: unknown, prefix: string, path = prefix): SettingsTable {
    if (typeof value !== "object" || value === null) return failSetting(path, "not a table");
    return new SettingsTable(value as TomlTable, prefix);
  }

  /** Whole path of a field of this table. */
  pathOf(name: string): string {
    return this.prefix + name;
  }

  /** Whether the field is there at all. */
  has(name: string): boolean {
    return this.fields[name] !== undefined;
  }

  /** The value of a field, unchecked. */
  value(name: string): unknown {
    return this.fields[name];
  }

  /** A table that has to be there. */
  table(name: string): SettingsTable {
    const value = this.fields[name];
    const path = this.pathOf(name);
    if (Array.isArray(value) || typeof value !== "object" || value === null) {
      return failSetting(path, "missing or not a table");
    }
    return new SettingsTable(value as TomlTable, `${path}.`);
  }

  /** A list; empty where it is absent. */
  list(name: string): readonly unknown[] {
    const value = this.fields[name] ?? [];
    return Array.isArray(value) ? value : failSetting(this.pathOf(name), "not a list");
  }

  /** A text that is not empty. */
  text(name: string): string {
    const value = this.fields[name];
    return typeof value === "string" && value !== ""
      ? value
      : failSetting(this.pathOf(name), "missing or not a string");
  }

  /** An IPv4 address with a port. */
  endpoint(name: string): string {
    const value = this.text(name);
    const port = Number(ENDPOINT.exec(value)?.[1] ?? Number.NaN);
    if (port > 0 && port <= MAX_PORT) return value;
    return failSetting(this.pathOf(name), "not an address like 10.0.0.1:8080");
  }

  /** A finite number of at least `minimum`. */
  number(name: string, minimum: number): number {
    const value = this.fields[name];
    const plain = typeof value === "bigint" ? Number(value) : value;
    if (typeof plain !== "number" || !Number.isFinite(plain)) {
      return failSetting(this.pathOf(name), "missing or not a number");
    }
    return plain >= minimum ? plain : failSetting(this.pathOf(name), `must be at least ${minimum}`);
  }

  /** A whole number of at least 1. */
  wholeNumber(name: string): number {
    const value = this.number(name, 1);
    return Number.isInteger(value) ? value : failSetting(this.pathOf(name), "not a whole number");
  }

  /** A number of at least 0; 0 where it is absent. */
  optionalNumber(name: string): number {
    return this.has(name) ? this.number(name, 0) : 0;
  }

  /** A time of at least 0, given in seconds. */
  duration(name: string): Micros {
    return seconds(this.number(name, 0));
  }
}
