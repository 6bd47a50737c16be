/** What the job API asks of the shards that this controller leads. */
import type { JobSpec } from "../../protocol/job-spec.js";

/** The shards led by this controller, as far as users' requests go. */
export interface LocalShards {
  /** The numbers of the job's completed and running tasks; null: its shard is led elsewhere. */
  readonly taskCounts: (id: string) => { done: number; running: number } | null;
  /** Whether this controller leads a shard, so that workers send heartbeats here. */
  readonly isLeader: () => boolean;
  /** Whether the job was cancelled with what it is part of, though its own record does not say so. */
  readonly isWithdrawn: (spec: JobSpec) => boolean;
}
