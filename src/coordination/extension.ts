/** The interface of an extension: a part beside the scheduler that makes jobs of its own. */

import type { MachineType } from "../protocol/cloud.js";
import type { JobSpec } from "../protocol/job-spec.js";
import type { KeyChange } from "../protocol/key-value-store.js";
import type { ExitReason } from "../protocol/worker.js";
import type { OutcomeRecord } from "../storage/outcome-records.js";
import type { HttpRequest, HttpResponse } from "../transport/http.js";
import type { Services, ShardContext } from "./context.js";

/** An extension's part while this controller leads a shard. Must not throw; nothing of it is waited for. */
export interface ShardExtension {
  /** Anything current has changed; called after the kernel has taken it in. */
  onChange(change: KeyChange): void;
  /** The job's outcome is on record. */
  onJobEnded(spec: JobSpec, end: OutcomeRecord): void;
  /** One of the job's tasks ended badly; it is retried unless the job is cancelled. */
  onTaskFailed(spec: JobSpec, index: number, reason: ExitReason): void;
  stop(): void;
}

/** What the kernel lets an extension do with a block, beside writing through the committer. */
export interface ShardControls {
  /** Cancels every open job that `isWithdrawn` is now true of: the extension has recorded that, with no write for each job. */
  cancelWithdrawnJobs(ids: Iterable<string>): void;
}

/**
 * Something beside the kernel that makes jobs of its own. Its jobs are jobs like all others; the kernel only asks it
 * whether one of them has been withdrawn together with what it belongs to.
 */
export interface Extension {
  /** Null: not one of its paths. */
  handle(request: HttpRequest): Promise<HttpResponse> | null;
  acquireShard(context: ShardContext, doors: ShardControls): ShardExtension;
  /** By what is in this controller's view. */
  isWithdrawn(spec: JobSpec): boolean;
}

/** Makes the extension of one controller. */
export type ExtensionFactory = (services: Services, types: ReadonlyMap<string, MachineType>) => Extension;
