/**
 * A transaction between its submission and its result.
 * @module
 */
import type { Uint64 } from "../protocol/json.js";
import type { WriteOperation } from "../protocol/key-value-store.js";
import type { Micros } from "../transport/clock.js";
import type { TransactionResult } from "./store-results.js";
import type { WritePriority } from "./write-priority.js";

/** What becomes of a submitted transaction; the batcher itself waits for a busy key-value store. */
export type SubmissionResult = Exclude<TransactionResult, { readonly kind: "busy" }>;

/** A submitted transaction. It is carried out as a whole or not at all. */
export interface PendingTransaction {
  readonly priority: WritePriority;
  /** The version that each key must have; 0 where it must not exist. */
  readonly conditions: ReadonlyMap<string, Uint64>;
  /** Known before the writes are: they are made when the transaction is sent, so that they are up to date. */
  readonly keys: readonly string[];
  readonly buildWrites: () => readonly WriteOperation[];
  readonly resolve: (result: SubmissionResult) => void;
  readonly queuedAt: Micros;
  /** How often the key-value store was too busy for it. */
  attempts: number;
}
