/** The HTTP interface for users: routes requests to job submission, job status and job cancellation. */
import type { MachineType } from "../../protocol/cloud.js";
import { isJobId } from "../../protocol/job-messages.js";
import { memberOfKey } from "../../storage/keys.js";
import { seconds } from "../../transport/clock.js";
import type { HttpRequest, HttpResponse } from "../../transport/http.js";
import type { Services } from "../context.js";
import { DependencyResolver } from "../jobs/dependency-resolver.js";
import { JobCancellation } from "./job-cancellation.js";
import { JobFinder } from "./job-lookup.js";
import { JobStatusResponder } from "./job-status.js";
import { JobSubmission } from "./job-submission.js";
import type { LocalShards } from "./local-shards.js";
import { jsonResponse, retryLater } from "./responses.js";

/** The health check reports "not ready" to the load balancer if the watch cache is older than this. */
const MAX_CACHE_AGE = seconds(4);

/** Handles the HTTP requests of users. Every controller serves it, whichever shards it leads. */
export class JobApi {
  /** Reads the outcomes of ended jobs on which current jobs depend. */
  readonly dependencyResolver: DependencyResolver;
  private readonly status: JobStatusResponder;
  private readonly submission: JobSubmission;
  private readonly cancellation: JobCancellation;

  constructor(
    private readonly services: Services,
    private readonly machineTypes: ReadonlyMap<string, MachineType>,
    private readonly localShards: LocalShards,
  ) {
    const finder = new JobFinder(services);
    const dependencyResolver = new DependencyResolver(services, (id) => finder.readTerminalState(id));
    const status = new JobStatusResponder(services, finder, dependencyResolver, localShards);
    this.dependencyResolver = dependencyResolver;
    this.status = status;
    this.submission = new JobSubmission({ services, machineTypes, finder, dependencyResolver, status });
    this.cancellation = new JobCancellation(services, finder, localShards);
  }

  /** Routes a request by path and method; unknown paths and job ids give 404, other methods 405. */
  async handle(request: HttpRequest): Promise<HttpResponse> {
    const path = request.target.split("?")[0] ?? "";
    if (path === "/up") return request.method === "GET" ? this.health() : jsonResponse(405, { error: "use GET" });
    if (path === "/v2/runs") {
      return request.method === "POST"
        ? this.submission.submit(request.body)
        : jsonResponse(405, { error: "use POST" });
    }
    const match = /^\/v2\/runs\/([^/]+)(\/abort)?$/.exec(path);
    const id = match?.[1];
    if (id === undefined) return jsonResponse(404, { error: "no such path" });
    const expectedMethod = match?.[2] === undefined ? "GET" : "POST";
    if (request.method !== expectedMethod) return jsonResponse(405, { error: `use ${expectedMethod}` });
    if (!isJobId(id)) return jsonResponse(404, { error: "no such job" });
    return expectedMethod === "GET" ? this.status.respond(id) : this.cancellation.cancel(id);
  }

  private health(): HttpResponse {
    const { cache, clock, loadShedder } = this.services;
    // Heartbeats are handled only by the shard's leader, user requests by any controller. An overloaded leader
    // therefore makes the load balancer send users to the other controllers, if there are any.
    if (loadShedder.atLeast("degraded") && this.localShards.isLeader() && this.hasPeers())
      return retryLater("busy with workers");
    const fresh = cache.freshAsOf !== null && clock.now() - cache.freshAsOf < MAX_CACHE_AGE;
    return fresh && this.machineTypes.size > 0 ? jsonResponse(200, { up: true }) : retryLater("not ready");
  }

  /** Whether the watch cache lists any other controller as a member. */
  private hasPeers(): boolean {
    const { cache, settings } = this.services;
    for (const key of cache.entries.keys()) {
      const label = memberOfKey(key);
      if (label !== null && label !== settings.label) return true;
    }
    return false;
  }
}
