/** The interface between the scheduler core and an extension, a component that submits jobs of its own. */

import type { MachineType } from "../protocol/cloud.js";
import type { JobSpec } from "../protocol/job-spec.js";
import type { KeyChange } from "../protocol/key-value-store.js";
import type { ExitReason } from "../protocol/worker.js";
import type { OutcomeRecord } from "../storage/outcome-records.js";
import type { HttpRequest, HttpResponse } from "../transport/http.js";
import type { Services, ShardContext } from "./context.js";

/** An extension's handlers for a shard that this controller leads. They must not throw and are not awaited. */
export interface ShardExtension {
  /** Called for each change of a current record, after the scheduler core has applied it. */
  onChange(change: KeyChange): void;
  /** Called once the job's outcome record has been written. */
  onJobEnded(spec: JobSpec, end: OutcomeRecord): void;
  /** Called when an attempt of one of the job's tasks has failed; the task is retried unless the job is cancelled. */
  onTaskFailed(spec: JobSpec, index: number, reason: ExitReason): void;
  /** Called when this controller stops leading the shard. */
  stop(): void;
}

/** Operations on a shard that the scheduler core offers to an extension, in addition to transactions. */
export interface ShardControls {
  /**
   * Cancels those of the jobs for which `isCancelledWithRun` has become true. The extension has recorded this once for
   * all, so that no write per job is needed.
   */
  cancelJobsOfCancelledRuns(ids: Iterable<string>): void;
}

/**
 * A component that submits jobs of its own. The scheduler core treats them like all other jobs, but calls
 * `isCancelledWithRun` to find out whether a job was cancelled together with the graph run that it belongs to.
 */
export interface Extension {
  /** Handles a user's request; null: the path does not belong to the extension. */
  handle(request: HttpRequest): Promise<HttpResponse> | null;
  /** Called when this controller has become the leader of a shard and restored its jobs. */
  acquireShard(context: ShardContext, controls: ShardControls): ShardExtension;
  /** Whether the job was cancelled together with its graph run, by the records in this controller's watch cache. */
  isCancelledWithRun(spec: JobSpec): boolean;
}

/** Creates the extension of one controller; `types` are the cloud's machine types by name. */
export type ExtensionFactory = (services: Services, types: ReadonlyMap<string, MachineType>) => Extension;
