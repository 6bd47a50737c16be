/** The job API's view of the shards that this controller leads. */
import type { JobSpec } from "../../protocol/job-spec.js";

/** Queries about jobs and shards that this controller answers from its own memory. */
export interface LocalShards {
  /** The numbers of the job's completed and running tasks; null: another controller leads the job's shard. */
  readonly taskCounts: (id: string) => { done: number; running: number } | null;
  /** Whether this controller leads a shard and therefore receives heartbeats. */
  readonly isLeader: () => boolean;
  /** Whether the job is cancelled through a dependency or its graph run, although its own record is not marked so. */
  readonly isCancelledIndirectly: (spec: JobSpec) => boolean;
}
