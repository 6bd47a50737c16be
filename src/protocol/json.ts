/** JSON text with integers up to 2^64, and typed reading of the fields of decoded objects. */
import { parse as losslessParse, stringify as losslessStringify } from "lossless-json";
import { RainridgeError } from "../transport/errors.js";

/** A count, version, token or attempt: below 2^64. A number while that is exact, else a bigint. */
export type Uint64 = number | bigint;

/** A decoded JSON object whose fields have not been checked. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** A message lacks a field or has an invalid one. The text names the field and goes to whoever has sent the message. */
export class MalformedMessageError extends RainridgeError {
  readonly code = "MESSAGE_MALFORMED";
}

const UINT64_END = 2n ** 64n;
/** So many digits in a row, and a number may not be exact. */
const LONG_DIGITS = /\d{16}/;
const INTEGER = /^-?\d+$/;

const parseNumber = (text: string): Uint64 => {
  const plain = Number(text);
  if (Number.isSafeInteger(plain) || !INTEGER.test(text)) return plain;
  return BigInt(text);
};

/** Parses JSON; integers that a number can't hold become bigint. Throws SyntaxError on malformed text. */
export const parseJson = (text: string): unknown =>
  // The plain parser is the quick one, and loses nothing where there is no long run of digits.
  LONG_DIGITS.test(text) ? losslessParse(text, undefined, parseNumber) : JSON.parse(text);

/** Writes JSON, bigint as plain digits. */
export const formatJson = (value: unknown): string => {
  try {
    return JSON.stringify(value);
  } catch (error) {
    // The plain writer refuses bigint, which is rare: ordinary values take the quick way.
    if (!(error instanceof TypeError)) throw error;
    return losslessStringify(value) ?? "null";
  }
};

/** The value as an object. `what` names it in the error. Throws MalformedMessageError. */
export const asObject = (value: unknown, what: string): JsonObject => {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw new MalformedMessageError(`${what}: not an object`);
  }
  return value as JsonObject;
};

/** The value as a list. `what` names it in the error. Throws MalformedMessageError. */
export const asArray = (value: unknown, what: string): readonly unknown[] => {
  if (!Array.isArray(value)) throw new MalformedMessageError(`${what}: not a list`);
  return value;
};

/** Reads a text. Throws MalformedMessageError. */
export const readString = (fields: JsonObject, name: string): string => {
  const value = fields[name];
  if (typeof value !== "string") throw new MalformedMessageError(`${name}: not a string`);
  return value;
};

/** Reads a list of texts. Throws MalformedMessageError. */
export const readNames = (fields: JsonObject, name: string): readonly string[] =>
  asArray(fields[name], name).map((entry) => {
    if (typeof entry !== "string") throw new MalformedMessageError(`${name}: not names`);
    return entry;
  });

/** Reads a keyword; returns what it stands for in `table`. Throws MalformedMessageError. */
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

/** Reads a finite number of at least 0. Throws MalformedMessageError. */
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
