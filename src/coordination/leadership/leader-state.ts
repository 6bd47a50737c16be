/** Mutable state of a shard leader that its collaborators read. */
import type { ShardExtension } from "../extension.js";

/** Shared by a shard leader and its collaborators; written by the leader only. */
export interface LeaderState {
  /** The shard's lease was lost or released: no further writes or commands for the shard. */
  stopped: boolean;
  /** The extension's state for this shard; null until the extension has acquired it, and without an extension. */
  extension: ShardExtension | null;
}
