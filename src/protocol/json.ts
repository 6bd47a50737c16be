/** Lossless JSON parsing and formatting of integers below 2^64, and typed access to the fields of decoded objects. */
import { parse as losslessParse, stringify as losslessStringify } from "lossless-json";
import { RainridgeError } from "../transport/errors.js";

/** A count, version, token or attempt below 2^64: a number where that is exact, else a bigint. */
export type Uint64 = number | bigint;

/** A decoded JSON object whose fields have not been checked. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** A field of a message is missing or invalid. The error text names the field and may be returned to the sender. */
export class MalformedMessageError extends RainridgeError {
  readonly code = "MESSAGE_MALFORMED";
}

const UINT64_END = 2n ** 64n;
/** Integers with this many digits may exceed the range in which a number is exact. */
const LONG_DIGIT_RUN = /\d{16}/;
const INTEGER = /^-?\d+$/;

const parseNumber = (text: string): Uint64 => {
  const plain = Number(text);
  if (Number.isSafeInteger(plain) || !INTEGER.test(text)) return plain;
  return BigInt(text);
};

/** Parses JSON; integers that a number can't represent exactly become bigint. Throws SyntaxError on malformed text. */
export const parseJson = (text: string): unknown =>
  // The built-in parser is faster, and is exact where the text has no long run of digits.
  LONG_DIGIT_RUN.test(text) ? losslessParse(text, undefined, parseNumber) : JSON.parse(text);

/** Formats a value as JSON, with bigint as an integer literal. */
export const formatJson = (value: unknown): string => {
  try {
    return JSON.stringify(value);
  } catch (error) {
    // The built-in formatter is faster but throws on bigint, which is rare.
    if (!(error instanceof TypeError)) throw error;
    return losslessStringify(value) ?? "null";
  }
};

/** Returns the value as an object. `subject` names it in the error text. Throws MalformedMessageError. */
export const asObject = (value: unknown, subject: string): JsonObject => {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw new MalformedMessageError(`${subject}: not an object`);
  }
  return value as JsonObject;
};

/** Returns the value as an array. `subject` names it in the error text. Throws MalformedMessageError. */
export const asArray = (value: unknown, subject: string): readonly unknown[] => {
  if (!Array.isArray(value)) throw new MalformedMessageError(`${subject}: not a list`);
  return value;
};

/** Reads a string. Throws MalformedMessageError. */
export const readString = (fields: JsonObject, name: string): string => {
  const value = fields[name];
  if (typeof value !== "string") throw new MalformedMessageError(`${name}: not a string`);
  return value;
};

/** Reads an array of strings. Throws MalformedMessageError. */
export const readNames = (fields: JsonObject, name: string): readonly string[] =>
  asArray(fields[name], name).map((entry) => {
    if (typeof entry !== "string") throw new MalformedMessageError(`${name}: not names`);
    return entry;
  });

/**
 * Reads a keyword and returns its value in `table`. Throws MalformedMessageError where the table does not contain it.
 */
export const readKeyword = <T>(fields: JsonObject, name: string, table: Readonly<Record<string, T>>): T => {
  const keyword = readString(fields, name);
  const value = Object.hasOwn(table, keyword) ? table[keyword] : undefined;
  if (value === undefined) throw new MalformedMessageError(`${name}: unknown value`);
  return value;
};

/** Reads a boolean. Throws MalformedMessageError. */
export const readBoolean = (fields: JsonObject, name: string): boolean => {
  const value = fields[name];
  if (typeof value !== "boolean") throw new MalformedMessageError(`${name}: not a boolean`);
  return value;
};

/** Reads a finite number not below 0; a bigint is rounded to a number. Throws MalformedMessageError. */
export const readNonNegative = (fields: JsonObject, name: string): number => {
  const value = fields[name];
  const plain = typeof value === "bigint" ? Number(value) : value;
  if (typeof plain !== "number" || !Number.isFinite(plain) || plain < 0) {
    throw new MalformedMessageError(`${name}: not an amount`);
  }
  return plain;
};

/** Reads an integer from 0 to 2^64 - 1. Throws MalformedMessageError. */
export const readUint64 = (fields: JsonObject, name: string): Uint64 => {
  const value = fields[name];
  if (typeof value === "bigint" && value >= 0n && value < UINT64_END) return value;
  if (typeof value === "number" && Number.isSafeInteger(value) && value >= 0) return value;
  throw new MalformedMessageError(`${name}: not a count`);
};

/** Reads a field with `read`; null where it is absent or null. */
export const readOptional = <T>(
  fields: JsonObject,
  name: string,
  read: (fields: JsonObject, name: string) => T,
): T | null => (fields[name] === undefined || fields[name] === null ? null : read(fields, name));
