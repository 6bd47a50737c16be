/**
 * A transaction that was submitted and has no result yet.
 * @module
 */
import type { Uint64 } from "../protocol/json.js";
import type { WriteOperation } from "../protocol/key-value-store.js";
import type { Micros } from "../transport/clock.js";
import type { TransactionResult } from "./store-results.js";
import type { WritePriority } from "./write-priority.js";

/**
 * Result of a submitted transaction. Never `busy`, since the batcher retries until the key-value store has capacity.
 */
export type SubmissionResult = Exclude<TransactionResult, { readonly kind: "busy" }>;

/** A submitted transaction. It is applied as a whole or not at all. */
export interface PendingTransaction {
  readonly priority: WritePriority;
  /** Required version by key; 0 where the key must not exist. */
  readonly conditions: ReadonlyMap<string, Uint64>;
  /**
   * Keys that will be written. The writes themselves are built when the transaction is sent, so that they are current.
   */
  readonly keys: readonly string[];
  readonly buildWrites: () => readonly WriteOperation[];
  readonly resolve: (result: SubmissionResult) => void;
  readonly queuedAt: Micros;
  /** Number of attempts rejected because the key-value store was busy. */
  attempts: number;
}
