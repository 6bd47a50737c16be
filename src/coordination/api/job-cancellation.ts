/** Cancellation of jobs by users. */
import { encodePhase } from "../../protocol/job-messages.js";
import { formatJson } from "../../protocol/json.js";
import { decodeJobRecord, encodeJobRecord, type JobRecord } from "../../storage/job-records.js";
import { jobKey } from "../../storage/keys.js";
import type { HttpResponse } from "../../transport/http.js";
import type { Services } from "../context.js";
import { withoutDependencies } from "../jobs/dependency-resolver.js";
import type { JobFinder } from "./job-lookup.js";
import type { LocalShards } from "./local-shards.js";
import { jsonResponse, retryLater } from "./responses.js";

const MAX_CANCEL_ATTEMPTS = 4;

/**
 * A record that was written under a higher size limit may be too large to be rewritten. Tasks of a cancelled job are no
 * longer placed, so its machine types and dependencies can be dropped.
 */
const shrinkToFit = (record: JobRecord, maxBytes: number): JobRecord =>
  formatJson(encodeJobRecord(record)).length <= maxBytes
    ? record
    : { ...record, spec: { ...withoutDependencies(record.spec), types: null } };

/** Writes cancellations to the jobs' records in the key-value store. */
export class JobCancellation {
  constructor(
    private readonly services: Pick<Services, "cache" | "transactions">,
    private readonly finder: JobFinder,
    private readonly localShards: LocalShards,
  ) {}

  /**
   * Cancels the job unless it has ended. After a conflicting write the record is read again and the write is retried,
   * with at most four attempts in total.
   */
  // biome-ignore lint/complexity/noExcessiveCognitiveComplexity: one flow of retries, each exit a different response
  async cancel(id: string): Promise<HttpResponse> {
    const { transactions, cache } = this.services;
    for (let attempt = 0; attempt < MAX_CANCEL_ATTEMPTS; attempt += 1) {
      const entry = cache.entries.get(jobKey(id));
      if (entry === undefined) {
        const found = await this.finder.find(id);
        if (found.kind === "current") continue;
        if (found.kind === "not-found") return jsonResponse(404, { error: "no such job" });
        if (found.kind === "unknown") return retryLater("state service unavailable");
        return jsonResponse(200, encodePhase(id, found.end.phase));
      }
      const record = decodeJobRecord(entry.value);
      if (record.cancelled || this.localShards.isCancelledIndirectly(record.spec))
        return jsonResponse(200, encodePhase(id, "cancelled"));
      const value = shrinkToFit({ ...record, cancelled: true }, this.services.transactions.maxValueBytes);
      const result = await transactions.submit(
        new Map([[entry.key, entry.version]]),
        [{ kind: "put", key: entry.key, value: encodeJobRecord(value) }],
        "cancellation",
      );
      if (result.kind === "ok") return jsonResponse(200, encodePhase(id, "cancelled"));
      if (result.kind !== "conflict") return retryLater("state service unavailable");
      if (!(await cache.sync())) return retryLater("state service unavailable");
    }
    return retryLater("busy");
  }
}
