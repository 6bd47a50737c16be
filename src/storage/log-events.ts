/**
 * Events that this package writes to the log.
 * @module
 */

/** The texts of the events, in the form "subject verb". */
export const LogEvent = {
  /** The key-value store takes no transaction as large: `writes` (count), `body` (of the response, cut short). */
  TransactionRefused: "transaction refused",
  /** A response that can't be read, or with a status that is not known: `error`. */
  StoreResponseMalformed: "store response malformed",
  /** The watch cache has listed all that lies below its prefix: `entries` (count). */
  CacheLoaded: "cache loaded",
} as const;
