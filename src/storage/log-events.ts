/**
 * Events that this package writes to the log.
 * @module
 */

/** The texts of the events. */
export const LogEvent = {
  /** The state service takes no transaction as large: `writes` (count), `body` (of the response, cut short). */
  TransactionRefused: "transaction refused as too large",
  /** A response that can't be read, or with a status that is not known: `error`. */
  StoreResponseMalformed: "malformed answer of the state service",
  /** The watch cache has listed all that lies below its prefix: `entries` (count). */
  CacheLoaded: "state read",
} as const;
