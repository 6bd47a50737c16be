/**
 * Log events of this package.
 * @module
 */

/** The texts of the events, in the form "subject verb". */
export const LogEvent = {
  /** The key-value store refused a transaction as too large: `writes` (count), `body` (of the response, truncated). */
  TransactionRefused: "transaction refused",
  /** A response that can't be decoded, or has an unknown status: `error`. */
  StoreResponseMalformed: "store response malformed",
  /** The watch cache has listed all entries below its prefix: `entries` (count). */
  CacheLoaded: "cache loaded",
} as const;
