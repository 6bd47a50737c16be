/** The users' HTTP interface: routes requests to submission, status and cancellation of jobs. */
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

/** With a cache older than this a controller is not ready: the load balancer is told so. */
const MAX_CACHE_AGE = seconds(4);

/** The users' interface, the same at every controller. */
export class JobApi {
  /** Outcomes of the jobs that others depend on. */
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

  /** The response to a user's request. */
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
    // Workers are answered by the leader only, users by any controller: they are sent to the others while there are any.
    if (loadShedder.atLeast("degraded") && this.localShards.isLeader() && this.hasPeers())
      return retryLater("busy with workers");
    const fresh = cache.freshAsOf !== null && clock.now() - cache.freshAsOf < MAX_CACHE_AGE;
    return fresh && this.machineTypes.size > 0 ? jsonResponse(200, { up: true }) : retryLater("not ready");
  }

  /** Whether there are other controllers. */
  private hasPeers(): boolean {
    const { cache, settings } = this.services;
    for (const key of cache.entries.keys()) {
      const label = memberOfKey(key);
      if (label !== null && label !== settings.label) return true;
    }
    return false;
  }
}
