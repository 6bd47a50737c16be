/**
 * Reasons for cancellations that the job's user did not request, as stored in job records and outcome records.
 * @module
 */
import type { JsonObject } from "../protocol/json.js";

/**
 * `error`, `timeout`: the attempt failed or exceeded its time limit. `graph`: cancelled together with the graph run, or
 * the part of it, to which the job belongs. `cleared`: the step's state was cleared, so that it is executed again.
 */
export const CANCELLATION_REASONS = ["error", "timeout", "graph", "cleared"] as const;
/** One of `CANCELLATION_REASONS`. */
export type CancellationReason = (typeof CANCELLATION_REASONS)[number];

/** The reason in a record's stored fields; undefined where there is none, or one unknown to this version. */
export const decodeCancellationReason = (fields: JsonObject): CancellationReason | undefined =>
  CANCELLATION_REASONS.find((reason) => reason === fields.why);
