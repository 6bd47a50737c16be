/** Job submission by users. Submissions are idempotent: a repeated one gets the state of the job accepted before. */
import type { MachineType } from "../../protocol/cloud.js";
import { decodeSubmission, encodePhase } from "../../protocol/job-messages.js";
import { type JobSpec, jobSpecCodec } from "../../protocol/job-spec.js";
import { formatJson, MalformedMessageError, parseJson } from "../../protocol/json.js";
import { encodeJobRecord, type JobRecord } from "../../storage/job-records.js";
import { jobKey, outcomeKey, shardOf } from "../../storage/keys.js";
import type { SubmissionResult } from "../../storage/pending-transaction.js";
import type { HttpResponse } from "../../transport/http.js";
import type { Services } from "../context.js";
import { type DependencyResolver, withoutDependencies } from "../jobs/dependency-resolver.js";
import { infeasibilityReason } from "../scheduling/eligibility.js";
import { Admission } from "./admission.js";
import type { JobFinder } from "./job-lookup.js";
import type { JobStatusResponder } from "./job-status.js";
import { jsonResponse, retryLater } from "./responses.js";

/** Size allowed for the fields of a job record other than its specification. */
const RECORD_OVERHEAD_BYTES = 160;

type DecodedSubmission =
  | { readonly kind: "ok"; readonly spec: JobSpec }
  | { readonly kind: "malformed"; readonly response: HttpResponse };

const decodeBody = (body: string): DecodedSubmission => {
  try {
    return { kind: "ok", spec: decodeSubmission(parseJson(body)) };
  } catch (error) {
    if (error instanceof MalformedMessageError || error instanceof SyntaxError)
      return { kind: "malformed", response: jsonResponse(400, { error: error.message }) };
    throw error;
  }
};

/** The collaborators of a `JobSubmission`. */
export interface JobSubmissionDependencies {
  readonly services: Services;
  readonly machineTypes: ReadonlyMap<string, MachineType>;
  readonly finder: JobFinder;
  readonly dependencyResolver: DependencyResolver;
  readonly status: JobStatusResponder;
}

/** Validates submissions and writes the records of accepted jobs. */
export class JobSubmission {
  private readonly admission: Admission;

  constructor(private readonly dependencies: JobSubmissionDependencies) {
    this.admission = new Admission(dependencies.services);
  }

  /**
   * Accepts the job described by the JSON body. Status 201: accepted now; 200: accepted before; 400 and 422: rejected;
   * 503: to be retried.
   */
  async submit(body: string): Promise<HttpResponse> {
    const { services, dependencyResolver } = this.dependencies;
    const { transactions } = services;
    const decoded = decodeBody(body);
    if (decoded.kind === "malformed") return decoded.response;
    const { spec } = decoded;
    const earlyResponse = this.respondUnlessAdmitted(spec, body);
    if (earlyResponse !== null) return earlyResponse;
    const dependencyCheck = await dependencyResolver.check(spec.dependencies ?? []);
    if (dependencyCheck.kind === "not-found") {
      const refusal = jsonResponse(422, { error: `awaits: ${dependencyCheck.id} was never accepted` });
      return this.refuseUnlessAccepted(spec.id, refusal);
    }
    if (dependencyCheck.kind === "unknown") return retryLater("state service unavailable");
    const record = this.createRecord(spec, dependencyCheck.cancelled);
    const prepared = await dependencyResolver.prepareRecord(record, transactions.maxValueBytes);
    if (prepared === null) return retryLater("state service unavailable");
    const key = jobKey(spec.id);
    const result = await transactions.submit(
      new Map([...prepared.conditions, [key, 0], [outcomeKey(spec.id), 0]]),
      [{ kind: "put", key, value: encodeJobRecord(prepared.record) }],
      "user",
    );
    return this.respondToResult(spec.id, result);
  }

  /** Null: the job is admitted and its record can be written, provided that its dependencies permit it. */
  private respondUnlessAdmitted(spec: JobSpec, body: string): HttpResponse | Promise<HttpResponse> | null {
    const { services, machineTypes, finder, status } = this.dependencies;
    if (!services.cache.loaded || machineTypes.size === 0) return retryLater("machine types unknown");
    if (finder.isKnown(spec.id)) return status.respond(spec.id);
    const permanentRefusal = this.permanentRefusal(spec, body);
    if (permanentRefusal !== null) return this.refuseUnlessAccepted(spec.id, permanentRefusal);
    return this.admission.deferral(spec);
  }

  /** A job with a cancelled dependency is accepted as well, but recorded as cancelled. */
  private createRecord(spec: JobSpec, cancelled: boolean): JobRecord {
    const { wallClock } = this.dependencies.services;
    const acceptance: Partial<JobRecord> = wallClock === null ? {} : { acceptedMs: Math.round(wallClock()) };
    return { spec, shard: shardOf(spec.team), cancelled, ...acceptance };
  }

  private respondToResult(id: string, result: SubmissionResult): HttpResponse | Promise<HttpResponse> {
    switch (result.kind) {
      case "ok":
        return jsonResponse(201, encodePhase(id, "queued"));
      case "conflict":
        return this.dependencies.status.respond(id);
      case "too large":
        return jsonResponse(400, { error: "job: too large" });
      case "refused":
      case "lost":
        return retryLater("state service unavailable");
    }
  }

  /**
   * Returns the refusal only if the job was never accepted. A repeated submission gets the job's status, even if the
   * job ended long ago or was accepted when other machine types were offered.
   */
  private async refuseUnlessAccepted(id: string, refusal: HttpResponse): Promise<HttpResponse> {
    const { finder, status } = this.dependencies;
    const found = await finder.find(id);
    return found.kind === "not-found" ? refusal : status.respond(id, found);
  }

  /** The refusal of a job that can never be accepted; null: there is no such reason. */
  private permanentRefusal(spec: JobSpec, body: string): HttpResponse | null {
    const { services, machineTypes } = this.dependencies;
    const reason = infeasibilityReason(spec, services.settings, machineTypes);
    if (reason !== null) return jsonResponse(422, { error: reason });
    // The key-value store would reject the record on every retry.
    const { maxValueBytes } = services.transactions;
    const tooLarge =
      body.length > maxValueBytes / 2 &&
      formatJson(jobSpecCodec.encode(withoutDependencies(spec))).length + RECORD_OVERHEAD_BYTES > maxValueBytes;
    return tooLarge ? jsonResponse(400, { error: "job: too large" }) : null;
  }
}
