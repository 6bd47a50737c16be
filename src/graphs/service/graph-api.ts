import type { Services } from "../../coordination/context.js";
import { infeasibilityReason } from "../../coordination/scheduling/eligibility.js";
import type { MachineType } from "../../protocol/cloud.js";
import { jobSpecCodec } from "../../protocol/job-spec.js";
import { asArray, MalformedMessageError, parseJson, type Uint64 } from "../../protocol/json.js";
import type { WriteOperation } from "../../protocol/key-value-store.js";
import type { GraphOptions } from "../../settings/graph-options.js";
import { shardOf } from "../../storage/keys.js";
import type { HttpRequest, HttpResponse } from "../../transport/http.js";
import { GraphError, problemText } from "../description/problem.js";
import type { Submission } from "../description/requests.js";
import { closure } from "../run/closure.js";
import { MAX_CLEARINGS, tryOf } from "../run/dag-run.js";
import { distinctJobs } from "../run/job-specs.js";
import { encodePlan, type Plan } from "../run/plan.js";
import { countsOf, type FinalState, type StepState } from "../run/states.js";
import { loadDescription } from "./load-description.js";
import { loadPlan, loadSavedStates } from "./loading.js";
import { PartUploads } from "./part-uploads.js";
import {
  clearedSegments,
  type EndedRun,
  endedKey,
  endedPrefix,
  type FinalPhase,
  graphKey,
  isRunId,
  jobIdOf,
  lastRunKey,
  planKey,
  type RunHeader,
  readEnded,
  readHeader,
  readSegments,
  readUpload,
  runIdOfKey,
  segmentSize,
  segmentWrites,
  summaryKey,
  type Upload,
  uploadKey,
  writeHeader,
  writeUpload,
} from "./records.js";
import {
  BUSY_RETRY_AFTER_S,
  digestOf,
  errorResponse,
  type FailedLookup,
  failedLookupResponse,
  isFailedLookup,
  jsonResponse,
  MAX_WRITE_DELAY,
  MAX_WRITE_TRIES,
  type RunLookup,
  retryLater,
} from "./responses.js";
import { RunSnapshots, type RunStates } from "./run-snapshots.js";
import { LARGE_RUN_STEPS } from "./run-writes.js";

/** Plans of up to this many characters are stored in the run's header, which every controller's watch cache holds. */
const MAX_INLINE_PLAN_CHARS = 3_000;
/** Steps per page: a line of a response must not exceed 64 KiB, even with the longest permitted names. */
const STEPS_PAGE_SIZE = 150;
const RUNS_PAGE_SIZE = 100;
const RUN_LIMIT_RETRY_AFTER_S = 30;

type RunPhase = "pending" | "running" | FinalPhase;

/** JSON with sorted keys, so that a repeated submission has the same digest whatever the order of its fields. */
const canonicalJson = (value: unknown): string =>
  JSON.stringify(value, (_, inner: unknown) => {
    if (typeof inner === "bigint") return inner.toString();
    if (typeof inner !== "object" || inner === null || Array.isArray(inner)) return inner;
    return Object.fromEntries(Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)));
  });

/** The HTTP API for DAG runs (`/v2/graphs`). Every controller serves it, whether or not it leads the run's shard. */
export class GraphApi {
  private readonly snapshots: RunSnapshots;
  private readonly partUploads: PartUploads;

  constructor(
    private readonly services: Services,
    private readonly types: ReadonlyMap<string, MachineType>,
    private readonly options: GraphOptions,
    /** The run's step states if this controller leads the run's shard and has loaded the run; else null. */
    private readonly liveStates: (id: string) => RunStates | null,
  ) {
    this.snapshots = new RunSnapshots(services, options);
    this.partUploads = new PartUploads(services, {
      lookUp: (id) => this.lookUp(id),
      statusResponse: (id, found) => this.statusResponse(id, found),
      submit: (submission, partKeys) => this.submit(submission, partKeys),
    });
  }

  /** Null if the path does not belong to this API. A malformed request resolves to a 400 response. */
  handle(request: HttpRequest): Promise<HttpResponse> | null {
    const [path = "", query = ""] = request.target.split("?");
    if (path !== "/v2/graphs" && !path.startsWith("/v2/graphs/")) return null;
    return this.route(request, path, new URLSearchParams(query)).catch((error: unknown) => {
      if (error instanceof GraphError) {
        const [first] = error.problems;
        const suffix = error.problems.length > 1 ? ` (and ${error.problems.length - 1} more)` : "";
        return errorResponse(400, first === undefined ? "malformed" : `${problemText(first)}${suffix}`.slice(0, 1_000));
      }
      if (error instanceof MalformedMessageError || error instanceof SyntaxError)
        return errorResponse(400, error.message);
      throw error;
    });
  }

  private async route(request: HttpRequest, path: string, query: URLSearchParams): Promise<HttpResponse> {
    const { method, body } = request;
    if (path === "/v2/graphs") {
      if (method === "POST") return this.handleSubmission(body);
      return method === "GET" ? this.list(query) : errorResponse(405, "use GET or POST");
    }
    const [, id = "", action] = /^\/v2\/graphs\/([^/]+)(?:\/(abort|clear|steps))?$/.exec(path) ?? [];
    if (!isRunId(id)) return errorResponse(404, "no such graph");
    const requiredMethod = action === "abort" || action === "clear" ? "POST" : "GET";
    if (method !== requiredMethod) return errorResponse(405, `use ${requiredMethod}`);
    if (action === "abort") return this.abort(id);
    if (action === "clear") return this.clear(id, body);
    return action === "steps" ? this.steps(id, query) : this.status(id);
  }

  // Submission ----------------------------------------------------------------------------------------------

  private async handleSubmission(body: string): Promise<HttpResponse> {
    const value = parseJson(body);
    const { isPart, isSubmission, validationMessage } = await loadDescription();
    if (typeof value === "object" && value !== null && "part" in value) {
      return isPart(value) ? this.partUploads.receive(value) : errorResponse(400, validationMessage(isPart));
    }
    return isSubmission(value) ? this.submit(value) : errorResponse(400, validationMessage(isSubmission));
  }

  /** `partKeys`: keys of the stored parts that the submission was assembled from; deleted once the run is accepted. */
  private async submit(submission: Submission, partKeys: readonly string[] = []): Promise<HttpResponse> {
    const { cache, transactions, loadShedder } = this.services;
    const id = submission.ref;
    if (!isRunId(id)) return errorResponse(400, "ref: not a graph id like dr-night_2026-01-31");
    if (!cache.loaded || this.types.size === 0) return retryLater("machine types unknown");
    const { graph, params = {}, ds = null } = submission;
    const request = digestOf(canonicalJson({ graph, params, ds }));
    const existing = await this.lookUp(id);
    if (existing.kind !== "missing") return this.respondToRepeat(id, existing, request);
    if (loadShedder.atLeast("saturated")) return retryLater("overloaded", BUSY_RETRY_AFTER_S);
    if (transactions.userWriteDelay > MAX_WRITE_DELAY) return retryLater("busy", BUSY_RETRY_AFTER_S);
    let activeRuns = 0;
    for (const key of cache.entries.keys()) if (runIdOfKey(key) !== null) activeRuns += 1;
    if (activeRuns >= this.options.mostRuns)
      return retryLater(`${activeRuns} graphs are under way, which is the limit`, RUN_LIMIT_RETRY_AFTER_S);
    const { compile, readDocument } = await loadDescription();
    const document = readDocument(graph);
    const plan = compile(document, { id, ds: ds ?? this.today(), params }, this.options);
    const reason = this.unrunnableReason(plan);
    if (reason !== null) return errorResponse(422, reason);
    const response = await this.createRun(id, plan, request, document.max_active_runs !== undefined);
    if (response.status === 201 && partKeys.length > 0) void this.partUploads.deleteParts(id, partKeys);
    return response;
  }

  private today(): string {
    return new Date(this.services.wallClock?.() ?? 0).toISOString().slice(0, 10);
  }

  private unrunnableReason(plan: Plan): string | null {
    for (const [step, spec] of distinctJobs(plan)) {
      // Besides the specification, a job record holds the job id, the run id and failure counts: at most 400 bytes.
      if (JSON.stringify(jobSpecCodec.encode(spec)).length + 400 > this.services.settings.store.valueBytes) {
        return `step ${step.id}: its job is too large for a record`;
      }
      const reason = infeasibilityReason(spec, this.services.settings, this.types);
      if (reason !== null) return `step ${step.id}: ${reason}`;
    }
    return null;
  }

  private async createRun(id: string, plan: Plan, request: string, hasRunLimit: boolean): Promise<HttpResponse> {
    const { transactions, settings, store } = this.services;
    const { text, digest } = encodePlan(plan);
    const chunk = Math.floor(settings.store.valueBytes * 0.95) - 16;
    const isInline = text.length <= Math.min(MAX_INLINE_PLAN_CHARS, chunk / 2);
    const chunks = isInline ? 0 : Math.ceil(text.length / chunk);
    const conditions = new Map<string, Uint64>([
      [graphKey(id), 0],
      [endedKey(id), 0],
    ]);
    const writes: WriteOperation[] = [];
    let previousRun: string | null = null;
    if (plan.steps.some(({ dependsOnPast }) => dependsOnPast)) {
      const key = lastRunKey(plan.owner, plan.dagId);
      const last = await store.get(key);
      if (last.kind !== "ok" && last.kind !== "missing") return retryLater("state service unavailable");
      if (last.kind === "ok" && typeof last.value.value === "string") previousRun = last.value.value;
      conditions.set(key, last.kind === "ok" ? last.value.version : 0);
      writes.push({ kind: "put", key, value: id });
    }
    const header: RunHeader = {
      digest,
      request,
      dag: plan.dagId,
      owner: plan.owner,
      block: shardOf(plan.owner),
      steps: plan.steps.length,
      mostRuns: hasRunLimit ? plan.maxActiveRuns : this.options.mostRuns,
      segment: segmentSize(settings.store.valueBytes),
      plan: isInline ? { text } : { chunks },
      acceptedMs: Math.round(this.services.wallClock?.() ?? 0),
      aborted: false,
      timedOut: false,
      round: 0,
      clear: null,
      before: previousRun,
    };
    // The marker keeps its list of parts: if this controller crashes here, the user sends the last part again.
    const markerEntry = this.services.cache.entries.get(uploadKey(id));
    const upload: Upload = markerEntry === undefined ? {} : readUpload(markerEntry.value);
    const marker: WriteOperation = {
      kind: "put",
      key: uploadKey(id),
      value: writeUpload({ ...upload, plan: digest, chunks }),
    };
    const markerUnchanged = new Map([[uploadKey(id), markerEntry?.version ?? 0]]);
    for (let at = 0; at < chunks; at += 1) {
      const value = text.slice(at * chunk, (at + 1) * chunk);
      const write: WriteOperation = { kind: "put", key: planKey(id, digest, at), value };
      const first = at === 0;
      const put = await transactions.submit(
        first ? markerUnchanged : new Map(),
        first ? [marker, write] : [write],
        "user",
      );
      // The key contains the plan's digest, so a chunk that already exists under it has the same content.
      if (put.kind !== "ok") return retryLater("state service unavailable");
      // Deletion of chunks is conditional on the marker's version: while that is unchanged, no chunk has been deleted.
      if (first) conditions.set(uploadKey(id), put.version);
    }
    writes.push({ kind: "put", key: graphKey(id), value: writeHeader(header) });
    const result = await transactions.submit(conditions, writes, "user");
    if (result.kind === "ok") return jsonResponse(201, { ref: id, phase: "pending" });
    if (result.kind !== "conflict") return retryLater("state service unavailable");
    const existing = await this.lookUp(id);
    return existing.kind === "missing" ? retryLater("busy") : this.respondToRepeat(id, existing, request);
  }

  private respondToRepeat(id: string, existing: RunLookup, request: string): Promise<HttpResponse> | HttpResponse {
    if (isFailedLookup(existing)) return retryLater("state service unavailable");
    const header = existing.kind === "current" ? existing.header : existing.ended.header;
    if (header.request !== request) return errorResponse(409, `${id} is another graph: choose a new id`);
    return this.statusResponse(id, existing);
  }

  // Queries -------------------------------------------------------------------------------------------------

  /** Looks up a run's record; the result is at least as recent as the call. */
  private async lookUp(id: string): Promise<RunLookup> {
    const { cache, store } = this.services;
    if (!(await cache.sync())) return { kind: "unavailable" };
    const entry = cache.entries.get(graphKey(id));
    if (entry !== undefined) return { kind: "current", header: readHeader(entry.value), version: entry.version };
    const reply = await store.get(endedKey(id));
    if (reply.kind === "missing") return { kind: "missing" };
    if (reply.kind !== "ok") return { kind: "unavailable" };
    return { kind: "ended", ended: readEnded(reply.value.value), version: reply.value.version };
  }

  private async status(id: string): Promise<HttpResponse> {
    const found = await this.lookUp(id);
    return isFailedLookup(found) ? failedLookupResponse(found) : this.statusResponse(id, found);
  }

  private async statusResponse(id: string, found: Exclude<RunLookup, FailedLookup>): Promise<HttpResponse> {
    if (found.kind === "ended") {
      const { header, phase, counts } = found.ended;
      return jsonResponse(200, {
        ref: id,
        phase,
        dag_id: header.dag,
        owner: header.owner,
        steps: header.steps,
        counts,
      });
    }
    const { header } = found;
    const counts = await this.counts(id, header);
    if (counts === null) return retryLater("state service unavailable");
    const started = Object.keys(counts).some((state) => state !== "none" && state !== "scheduled");
    const phase: RunPhase = header.aborted ? "withdrawn" : started ? "running" : "pending";
    return jsonResponse(200, { ref: id, phase, dag_id: header.dag, owner: header.owner, steps: header.steps, counts });
  }

  private async counts(id: string, header: RunHeader): Promise<Readonly<Record<string, number>> | null> {
    const liveRun = this.liveStates(id);
    const summary = this.services.cache.entries.get(summaryKey(id));
    if (liveRun === null && header.steps >= LARGE_RUN_STEPS) {
      const numbers = summary === undefined ? [header.steps] : asArray(summary.value, "summary").map(Number);
      return countsOf((_, at) => numbers[at] ?? 0);
    }
    const states = liveRun ?? (await this.snapshots.get(id, header));
    return states === null ? null : countsOf((state) => states.count(state));
  }

  private async steps(id: string, query: URLSearchParams): Promise<HttpResponse> {
    const from = Number(query.get("from") ?? 0);
    if (!Number.isInteger(from) || from < 0) return errorResponse(400, "from: not a step's number");
    const found = await this.lookUp(id);
    if (isFailedLookup(found)) return failedLookupResponse(found);
    const header = found.kind === "current" ? found.header : found.ended.header;
    const states = found.kind === "current" ? (this.liveStates(id) ?? (await this.snapshots.get(id, header))) : null;
    const ended = found.kind === "ended" ? await this.endedStates(id, found.ended) : null;
    if (states === null && ended === null) return retryLater("state service unavailable");
    const plan = states?.plan ?? ended?.plan;
    const page = (plan?.steps ?? []).slice(from, from + STEPS_PAGE_SIZE).map((step, index) => {
      const at = from + index;
      const state: StepState = states?.stateOf(at) ?? ended?.finals.get(at) ?? "none";
      const attempt = states?.attemptOf(at) ?? 0;
      const job = attempt === 0 ? {} : { try: tryOf(attempt), job: jobIdOf(id, header.digest, at, attempt) };
      return { n: at, step: step.id, state, ...job };
    });
    const next = from + STEPS_PAGE_SIZE < header.steps ? from + STEPS_PAGE_SIZE : null;
    return jsonResponse(200, { ref: id, steps: page, next });
  }

  private async endedStates(
    id: string,
    { header, states }: EndedRun,
  ): Promise<{ plan: Plan; finals: ReadonlyMap<number, FinalState>; clearings: ReadonlyMap<number, number> } | null> {
    const { store } = this.services;
    const plan = await loadPlan(store, id, header);
    const saved = states === null ? await loadSavedStates(store, id, header) : readSegments(header.segment, [states]);
    return plan === null || saved === null ? null : { plan, ...saved };
  }

  private async list(query: URLSearchParams): Promise<HttpResponse> {
    const { cache, store } = this.services;
    if (!(await cache.sync())) return retryLater("state service unavailable");
    const from = query.get("from") ?? "";
    if (from !== "" && !isRunId(from)) return errorResponse(400, "from: not a graph id");
    if (query.get("state") === "ended") {
      const reply = await store.page(endedPrefix, from === "" ? "" : endedKey(from), RUNS_PAGE_SIZE);
      if (reply.kind !== "ok") return retryLater("state service unavailable");
      const graphs = reply.value.entries.map((entry) => {
        const { header, phase } = readEnded(entry.value);
        return { ref: entry.key.slice(endedPrefix.length), phase, dag_id: header.dag, owner: header.owner };
      });
      return jsonResponse(200, { graphs, next: reply.value.more ? (graphs.at(-1)?.ref ?? null) : null });
    }
    const ids = [...cache.entries.keys()].flatMap((key) => runIdOfKey(key) ?? []).sort();
    const page = ids.filter((id) => id > from).slice(0, RUNS_PAGE_SIZE);
    const graphs = page.map((id) => {
      const { dag, owner, aborted, steps } = readHeader(cache.entries.get(graphKey(id))?.value);
      return { ref: id, phase: aborted ? "withdrawn" : "current", dag_id: dag, owner, steps };
    });
    const last = page.at(-1);
    return jsonResponse(200, { graphs, next: last !== undefined && last !== ids.at(-1) ? last : null });
  }

  // Abort and clear -----------------------------------------------------------------------------------------

  private async abort(id: string): Promise<HttpResponse> {
    const { transactions } = this.services;
    for (let tries = 0; tries < MAX_WRITE_TRIES; tries += 1) {
      const found = await this.lookUp(id);
      if (isFailedLookup(found)) return failedLookupResponse(found);
      if (found.kind === "ended") return jsonResponse(200, { ref: id, phase: found.ended.phase });
      if (found.header.aborted) return jsonResponse(200, { ref: id, phase: "withdrawn" });
      const value: RunHeader = { ...found.header, aborted: true, clear: null };
      const result = await transactions.submit(
        new Map([[graphKey(id), found.version]]),
        [{ kind: "put", key: graphKey(id), value: writeHeader(value) }],
        "cancellation",
      );
      if (result.kind === "ok") return jsonResponse(200, { ref: id, phase: "withdrawn" });
      if (result.kind !== "conflict") return retryLater("state service unavailable");
    }
    return retryLater("busy");
  }

  private async clear(id: string, body: string): Promise<HttpResponse> {
    const value = parseJson(body);
    const { isClear, validationMessage } = await loadDescription();
    if (!isClear(value)) return errorResponse(400, validationMessage(isClear));
    const { step, downstream = true } = value;
    for (let tries = 0; tries < MAX_WRITE_TRIES; tries += 1) {
      const found = await this.lookUp(id);
      if (isFailedLookup(found)) return failedLookupResponse(found);
      const header = found.kind === "current" ? found.header : found.ended.header;
      if (header.aborted) return errorResponse(409, `${id} was withdrawn`);
      if (header.round >= MAX_CLEARINGS)
        return errorResponse(409, `${id} was cleared ${MAX_CLEARINGS} times: run it anew`);
      if (header.clear !== null) return retryLater("an earlier clearing is under way");
      const plan = await loadPlan(this.services.store, id, header);
      if (plan === null) return retryLater("state service unavailable");
      // The name of a mapped task selects all of its steps.
      const steps = plan.steps.flatMap((one, at) => (one.id === step || one.id.startsWith(`${step}[`) ? [at] : []));
      if (steps.length === 0) return errorResponse(404, `no step ${step}`);
      const response =
        found.kind === "current"
          ? await this.clearCurrent(id, found, { steps, downstream })
          : await this.clearEnded(id, found, plan, { steps, downstream });
      if (response !== null) return response;
    }
    return retryLater("busy");
  }

  /** Only stores the request: the shard leader carries it out, since it knows which attempts are running. */
  private async clearCurrent(
    id: string,
    { header, version }: Extract<RunLookup, { kind: "current" }>,
    clear: RunHeader["clear"],
  ): Promise<HttpResponse | null> {
    const value: RunHeader = { ...header, clear };
    const result = await this.services.transactions.submit(
      new Map([[graphKey(id), version]]),
      [{ kind: "put", key: graphKey(id), value: writeHeader(value) }],
      "user",
    );
    if (result.kind === "ok") return jsonResponse(200, { ref: id, phase: "running" });
    return result.kind === "conflict" ? null : retryLater("state service unavailable");
  }

  /** No attempt is running, so the clear is carried out at once; steps that are not cleared keep their states. */
  private async clearEnded(
    id: string,
    { ended, version }: Extract<RunLookup, { kind: "ended" }>,
    plan: Plan,
    clear: NonNullable<RunHeader["clear"]>,
  ): Promise<HttpResponse | null> {
    const states = await this.endedStates(id, ended);
    if (states === null) return retryLater("state service unavailable");
    const { header } = ended;
    const cleared = closure(plan, clear.steps, clear.downstream);
    const round = header.round + 1;
    const acceptedMs = Math.round(this.services.wallClock?.() ?? 0);
    const next: RunHeader = { ...header, round, clear: null, timedOut: false, acceptedMs };
    const segments = clearedSegments(header, states.finals, states.clearings, cleared, round);
    const result = await this.services.transactions.submit(
      new Map<string, Uint64>([
        [endedKey(id), version],
        [graphKey(id), 0],
      ]),
      [
        { kind: "delete", key: endedKey(id) },
        { kind: "put", key: graphKey(id), value: writeHeader(next) },
        ...segmentWrites(id, segments),
      ],
      "user",
    );
    if (result.kind === "ok") return jsonResponse(200, { ref: id, phase: "running" });
    return result.kind === "conflict" ? null : retryLater("state service unavailable");
  }
}
