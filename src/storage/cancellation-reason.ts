/**
 * Why a job was cancelled where its user did not do it, as stored in the records of jobs and of outcomes.
 * @module
 */
import type { JsonObject } from "../protocol/json.js";

/**
 * `error`, `timeout`: the attempt was given up. `graph`: withdrawn with what it is part of. `cleared`: to be redone.
 */
export const CANCELLATION_REASONS = ["error", "timeout", "graph", "cleared"] as const;
/** One of `CANCELLATION_REASONS`. */
export type CancellationReason = (typeof CANCELLATION_REASONS)[number];

/** The reason in a record's stored fields; undefined where there is none, or one that this version does not know. */
export const decodeCancellationReason = (fields: JsonObject): CancellationReason | undefined =>
  CANCELLATION_REASONS.find((reason) => reason === fields.why);
