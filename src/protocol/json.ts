import { parse as losslessParse, stringify as losslessStringify } from "lossless-json";

/** A count, version, token or attempt: below 2^64. A number while that is exact, else a bigint. */
export type Uint64 = number | bigint;

const LONG_DIGITS = /\d{16}/;

const parseNumber = (text: string): Uint64 => {
  const plain = Number(text);
  if (Number.isSafeInteger(plain) || !/^-?\d+$/.test(text)) return plain;
  return BigInt(text);
};

/** Plain JSON.parse wherever no long run of digits can lose anything. Throws on malformed text. */
export const parseJson = (text: string): unknown =>
  LONG_DIGITS.test(text) ? losslessParse(text, undefined, parseNumber) : JSON.parse(text);

/** Writes bigint as plain digits; they only come from parseJson, so ordinary values take the quick way. */
export const formatJson = (value: unknown): string => {
  try {
    return JSON.stringify(value);
  } catch (error) {
    if (!(error instanceof TypeError)) throw error;
    return losslessStringify(value) ?? "null";
  }
};

export type JsonObject = Readonly<Record<string, unknown>>;

export class MalformedMessageError extends Error {}

export const asObject = (value: unknown, what: string): JsonObject => {
  if (typeof value !== "object" || value === null || Array.isArray(value))
    throw new MalformedMessageError(`${what}: not an object`);
  return value as JsonObject;
};

export const asArray = (value: unknown, what: string): readonly unknown[] => {
  if (!Array.isArray(value)) throw new MalformedMessageError(`${what}: not a list`);
  return value;
};

export const readString = (fields: JsonObject, name: string): string => {
  const value = fields[name];
  if (typeof value !== "string") throw new MalformedMessageError(`${name}: not a string`);
  return value;
};

export const readBoolean = (fields: JsonObject, name: string): boolean => {
  const value = fields[name];
  if (typeof value !== "boolean") throw new MalformedMessageError(`${name}: not a boolean`);
  return value;
};

export const readNonNegative = (fields: JsonObject, name: string): number => {
  const value = fields[name];
  const plain = typeof value === "bigint" ? Number(value) : value;
  if (typeof plain !== "number" || !Number.isFinite(plain) || plain < 0)
    throw new MalformedMessageError(`${name}: not an amount`);
  return plain;
};

const TWO_64 = 2n ** 64n;

export const readUint64 = (fields: JsonObject, name: string): Uint64 => {
  const value = fields[name];
  if (typeof value === "bigint" && value >= 0n && value < TWO_64) return value;
  if (typeof value === "number" && Number.isSafeInteger(value) && value >= 0) return value;
  throw new MalformedMessageError(`${name}: not a count`);
};

export const readOptional = <T>(
  fields: JsonObject,
  name: string,
  read: (fields: JsonObject, name: string) => T,
): T | null => (fields[name] === undefined || fields[name] === null ? null : read(fields, name));
