/** Responses to status requests: the phase and task counts of a job. */
import { encodeStatus, type JobPhase } from "../../protocol/job-messages.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { KeyValueEntry } from "../../protocol/key-value-store.js";
import { decodeJobRecord } from "../../storage/job-records.js";
import { jobKey, taskRangeKey } from "../../storage/keys.js";
import { decodeTaskRange } from "../../storage/task-range-records.js";
import type { HttpResponse } from "../../transport/http.js";
import type { Services } from "../context.js";
import type { DependencyResolver } from "../jobs/dependency-resolver.js";
import type { JobFinder, JobLookup } from "./job-lookup.js";
import type { LocalShards } from "./local-shards.js";
import { jsonResponse, retryLater } from "./responses.js";

/** Builds responses to status requests from the job's record, its task ranges and, at its leader, the shard's state. */
export class JobStatusResponder {
  /** Task counts by cached task range entry; an entry's counts are garbage-collected with it. */
  private readonly countsByEntry = new WeakMap<KeyValueEntry, { readonly done: number; readonly running: number }>();

  constructor(
    private readonly services: Pick<Services, "cache" | "dependencies">,
    private readonly finder: JobFinder,
    private readonly dependencyResolver: DependencyResolver,
    private readonly localShards: LocalShards,
  ) {}

  /**
   * Responds to a status request.
   *
   * @param lookup the result of a lookup that was already made for this request
   */
  async respond(id: string, lookup?: JobLookup): Promise<HttpResponse> {
    const found = lookup ?? (await this.finder.find(id));
    // A job may be cancelled together with a dependency: the outcomes of its dependencies are needed for its phase.
    const resolved = found.kind !== "current" || this.hasStarted(id) || (await this.dependencyResolver.resolve(id));
    if (!resolved) return retryLater("state service unavailable");
    if (found.kind !== "current") return this.responseFor(id, found);
    const entry = this.services.cache.entries.get(jobKey(id));
    return this.responseFor(id, entry === undefined ? await this.finder.find(id) : { kind: "current", entry });
  }

  /** Whether tasks of the job have been placed, which implies that all its dependencies are done. */
  private hasStarted(id: string): boolean {
    return this.services.cache.entries.has(taskRangeKey(id, 0));
  }

  private responseFor(id: string, found: JobLookup): HttpResponse {
    switch (found.kind) {
      case "unknown":
        return retryLater("state service unavailable");
      case "not-found":
        return jsonResponse(404, { error: "no such job" });
      case "ended":
        return jsonResponse(200, encodeStatus(id, found.end.phase, found.end.completedTasks, 0));
      case "current": {
        const { spec, ...record } = decodeJobRecord(found.entry.value);
        const cancelled = record.cancelled || this.localShards.isCancelledIndirectly(spec);
        const counts = this.localShards.taskCounts(id) ?? this.recordedCounts(spec);
        const phase: JobPhase = cancelled ? "cancelled" : counts.running > 0 ? "running" : "queued";
        const unmetDependencies =
          phase === "queued" && !this.hasStarted(id) ? this.services.dependencies.unmetDependencies(id) : [];
        return jsonResponse(200, encodeStatus(id, phase, counts.done, counts.running, unmetDependencies));
      }
    }
  }

  /** Task counts by the records, for a shard that another controller leads; placed tasks count as running. */
  private recordedCounts(spec: JobSpec): { done: number; running: number } {
    let done = 0;
    let running = 0;
    for (let range = 0; ; range += 1) {
      const entry = this.services.cache.entries.get(taskRangeKey(spec.id, range));
      if (entry === undefined) return { done, running };
      const counts = this.countsOf(entry);
      done += counts.done;
      running += counts.running;
    }
  }

  /** Decodes a task range once per version, however often the job's status is polled. */
  private countsOf(entry: KeyValueEntry): { readonly done: number; readonly running: number } {
    const cachedCounts = this.countsByEntry.get(entry);
    if (cachedCounts !== undefined) return cachedCounts;
    let done = 0;
    let running = 0;
    for (const task of decodeTaskRange(entry.value)) {
      if (task.kind === "done") done += 1;
      if (task.kind === "placed") running += 1;
    }
    const counts = { done, running };
    this.countsByEntry.set(entry, counts);
    return counts;
  }
}
