/** What changes in the life of a shard leader and is read by its collaborators. */
import type { ShardExtension } from "../extension.js";

/** Shared by a shard leader and its collaborators; written by the leader only. */
export interface LeaderState {
  /** The lease is over, or was given up: nothing more may be done in the shard's name. */
  stopped: boolean;
  /** The extension's part for this shard; null before it is acquired, and where there is no extension. */
  extension: ShardExtension | null;
}
