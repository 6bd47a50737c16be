import type { Services } from "../../coordination/context.js";
import { neverRuns } from "../../coordination/scheduling/eligibility.js";
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
import { MOST_CLEARINGS, tryOf } from "../run/dag-run.js";
import { encodePlan, type Plan } from "../run/plan.js";
import { distinctJobs } from "../run/spec.js";
import { countsOf, type FinalState, type StepState } from "../run/states.js";
import {
  type Absent,
  absent,
  answer,
  BUSY_S,
  comeBack,
  digestOf,
  type Found,
  isAbsent,
  MOST_BACKLOG,
  refuse,
  TRIES,
} from "./answers.js";
import { describing } from "./describing.js";
import { Glimpses, type RunStates } from "./glimpses.js";
import { loadPlan, loadSaved } from "./loading.js";
import { Parts } from "./parts.js";
import {
  clearedSegments,
  type Ended,
  endedKey,
  endedPrefix,
  graphKey,
  graphOfKey,
  type Header,
  isRunId,
  jobIdOf,
  lastRunKey,
  planKey,
  type RunEnd,
  readEnded,
  readHeader,
  readSegments,
  readUpload,
  segmentSize,
  segmentWrites,
  summaryKey,
  type Upload,
  uploadKey,
  writeHeader,
  writeUpload,
} from "./records.js";
import { LARGE_RUN } from "./run-writes.js";

/** Plans of up to this many characters are stored in the run's header, which every controller's watch cache holds. */
const INLINE = 3_000;
/** Steps per page: a line of a response must not exceed 64 KiB, even with the longest permitted names. */
const STEPS_PAGE = 150;
const RUNS_PAGE = 100;
const FULL_S = 30;

type Phase = "pending" | "running" | RunEnd;

/** JSON with sorted keys, so that a repeated submission has the same digest whatever the order of its fields. */
const canonical = (value: unknown): string =>
  JSON.stringify(value, (_, inner: unknown) => {
    if (typeof inner === "bigint") return inner.toString();
    if (typeof inner !== "object" || inner === null || Array.isArray(inner)) return inner;
    return Object.fromEntries(Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)));
  });

/** The HTTP API for DAG runs (`/v2/graphs`). Every controller serves it, whether or not it leads the run's shard. */
export class GraphDoor {
  private readonly glimpses: Glimpses;
  private readonly parts: Parts;

  constructor(
    private readonly services: Services,
    private readonly types: ReadonlyMap<string, MachineType>,
    private readonly options: GraphOptions,
    /** The run's step states if this controller leads the run's shard and has loaded the run; else null. */
    private readonly live: (id: string) => RunStates | null,
  ) {
    this.glimpses = new Glimpses(services, options);
    this.parts = new Parts(services, {
      find: (id) => this.find(id),
      tell: (id, found) => this.tell(id, found),
      submit: (submission, parts) => this.take(submission, parts),
    });
  }

  /** Null if the path does not belong to this API. A malformed request resolves to a 400 response. */
  handle(request: HttpRequest): Promise<HttpResponse> | null {
    const [path = "", query = ""] = request.target.split("?");
    if (path !== "/v2/graphs" && !path.startsWith("/v2/graphs/")) return null;
    return this.route(request, path, new URLSearchParams(query)).catch((error: unknown) => {
      if (error instanceof GraphError) {
        const [first] = error.problems;
        const more = error.problems.length > 1 ? ` (and ${error.problems.length - 1} more)` : "";
        return refuse(400, first === undefined ? "malformed" : `${problemText(first)}${more}`.slice(0, 1_000));
      }
      if (error instanceof MalformedMessageError || error instanceof SyntaxError) return refuse(400, error.message);
      throw error;
    });
  }

  private async route(request: HttpRequest, path: string, query: URLSearchParams): Promise<HttpResponse> {
    const { method, body } = request;
    if (path === "/v2/graphs") {
      if (method === "POST") return this.submit(body);
      return method === "GET" ? this.list(query) : refuse(405, "use GET or POST");
    }
    const [, id = "", verb] = /^\/v2\/graphs\/([^/]+)(?:\/(abort|clear|steps))?$/.exec(path) ?? [];
    if (!isRunId(id)) return refuse(404, "no such graph");
    const wanted = verb === "abort" || verb === "clear" ? "POST" : "GET";
    if (method !== wanted) return refuse(405, `use ${wanted}`);
    if (verb === "abort") return this.abort(id);
    if (verb === "clear") return this.clear(id, body);
    return verb === "steps" ? this.steps(id, query) : this.status(id);
  }

  // Submission ----------------------------------------------------------------------------------------------

  private async submit(body: string): Promise<HttpResponse> {
    const value = parseJson(body);
    const { isPart, isSubmission, whyNot } = await describing();
    if (typeof value === "object" && value !== null && "part" in value) {
      return isPart(value) ? this.parts.take(value) : refuse(400, whyNot(isPart));
    }
    return isSubmission(value) ? this.take(value) : refuse(400, whyNot(isSubmission));
  }

  /** `parts`: keys of the stored parts that the submission was assembled from; deleted once the run is accepted. */
  private async take(submission: Submission, parts: readonly string[] = []): Promise<HttpResponse> {
    const { cache, transactions, loadShedder } = this.services;
    const id = submission.ref;
    if (!isRunId(id)) return refuse(400, "ref: not a graph id like dr-night_2026-01-31");
    if (!cache.loaded || this.types.size === 0) return comeBack("machine types unknown");
    const { graph, params = {}, ds = null } = submission;
    const request = digestOf(canonical({ graph, params, ds }));
    const known = await this.find(id);
    if (known.kind !== "never") return this.repeated(id, known, request);
    if (loadShedder.atLeast("saturated")) return comeBack("overloaded", BUSY_S);
    if (transactions.userWriteDelay > MOST_BACKLOG) return comeBack("busy", BUSY_S);
    let runs = 0;
    for (const key of cache.entries.keys()) if (graphOfKey(key) !== null) runs += 1;
    if (runs >= this.options.mostRuns) return comeBack(`${runs} graphs are under way, which is the limit`, FULL_S);
    const { compile, readDocument } = await describing();
    const document = readDocument(graph);
    const plan = compile(document, { id, ds: ds ?? this.today(), params }, this.options);
    const never = this.neverRuns(plan);
    if (never !== null) return refuse(422, never);
    const said = await this.accept(id, plan, request, document.max_active_runs !== undefined);
    if (said.status === 201 && parts.length > 0) void this.parts.clearAway(id, parts);
    return said;
  }

  private today(): string {
    return new Date(this.services.wallClock?.() ?? 0).toISOString().slice(0, 10);
  }

  private neverRuns(plan: Plan): string | null {
    for (const [step, spec] of distinctJobs(plan)) {
      // Besides the specification, a job record holds the job id, the run id and failure counts: up to 400 bytes.
      if (JSON.stringify(jobSpecCodec.encode(spec)).length + 400 > this.services.settings.store.valueBytes) {
        return `step ${step.id}: its job is too large for a record`;
      }
      const never = neverRuns(spec, this.services.settings, this.types);
      if (never !== null) return `step ${step.id}: ${never}`;
    }
    return null;
  }

  private async accept(id: string, plan: Plan, request: string, limited: boolean): Promise<HttpResponse> {
    const { transactions, settings, store } = this.services;
    const { text, digest } = encodePlan(plan);
    const chunk = Math.floor(settings.store.valueBytes * 0.95) - 16;
    const inline = text.length <= Math.min(INLINE, chunk / 2);
    const chunks = inline ? 0 : Math.ceil(text.length / chunk);
    const conditions = new Map<string, Uint64>([
      [graphKey(id), 0],
      [endedKey(id), 0],
    ]);
    const writes: WriteOperation[] = [];
    let before: string | null = null;
    if (plan.steps.some(({ dependsOnPast }) => dependsOnPast)) {
      const key = lastRunKey(plan.owner, plan.dagId);
      const last = await store.get(key);
      if (last.kind !== "ok" && last.kind !== "missing") return comeBack("state service unavailable");
      if (last.kind === "ok" && typeof last.value.value === "string") before = last.value.value;
      conditions.set(key, last.kind === "ok" ? last.value.version : 0);
      writes.push({ kind: "put", key, value: id });
    }
    const header: Header = {
      digest,
      request,
      dag: plan.dagId,
      owner: plan.owner,
      block: shardOf(plan.owner),
      steps: plan.steps.length,
      mostRuns: limited ? plan.maxActiveRuns : this.options.mostRuns,
      segment: segmentSize(settings.store.valueBytes),
      plan: inline ? { text } : { chunks },
      acceptedMs: Math.round(this.services.wallClock?.() ?? 0),
      aborted: false,
      timedOut: false,
      round: 0,
      clear: null,
      before,
    };
    // The marker keeps its list of parts: if this controller crashes here, the user sends the last part again.
    const marked = this.services.cache.entries.get(uploadKey(id));
    const uploaded: Upload = marked === undefined ? {} : readUpload(marked.value);
    const marker: WriteOperation = {
      kind: "put",
      key: uploadKey(id),
      value: writeUpload({ ...uploaded, plan: digest, chunks }),
    };
    const unchanged = new Map([[uploadKey(id), marked?.version ?? 0]]);
    for (let at = 0; at < chunks; at += 1) {
      const value = text.slice(at * chunk, (at + 1) * chunk);
      const write: WriteOperation = { kind: "put", key: planKey(id, digest, at), value };
      const first = at === 0;
      const put = await transactions.submit(first ? unchanged : new Map(), first ? [marker, write] : [write], "user");
      // The key contains the plan's digest, so a chunk that already exists under it has the same content.
      if (put.kind !== "ok") return comeBack("state service unavailable");
      // Deletion of chunks is conditional on the marker's version: while that is unchanged, no chunk has been deleted.
      if (first) conditions.set(uploadKey(id), put.version);
    }
    writes.push({ kind: "put", key: graphKey(id), value: writeHeader(header) });
    const result = await transactions.submit(conditions, writes, "user");
    if (result.kind === "ok") return answer(201, { ref: id, phase: "pending" });
    if (result.kind !== "conflict") return comeBack("state service unavailable");
    const known = await this.find(id);
    return known.kind === "never" ? comeBack("busy") : this.repeated(id, known, request);
  }

  private repeated(id: string, known: Found, request: string): Promise<HttpResponse> | HttpResponse {
    if (isAbsent(known)) return comeBack("state service unavailable");
    const header = known.kind === "current" ? known.header : known.ended.header;
    if (header.request !== request) return refuse(409, `${id} is another graph: choose a new id`);
    return this.tell(id, known);
  }

  // Queries -------------------------------------------------------------------------------------------------

  /** Looks up a run's record; the result is at least as recent as the call. */
  private async find(id: string): Promise<Found> {
    const { cache, store } = this.services;
    if (!(await cache.sync())) return { kind: "unknown" };
    const entry = cache.entries.get(graphKey(id));
    if (entry !== undefined) return { kind: "current", header: readHeader(entry.value), version: entry.version };
    const reply = await store.get(endedKey(id));
    if (reply.kind === "missing") return { kind: "never" };
    if (reply.kind !== "ok") return { kind: "unknown" };
    return { kind: "ended", ended: readEnded(reply.value.value), version: reply.value.version };
  }

  private async status(id: string): Promise<HttpResponse> {
    const found = await this.find(id);
    return isAbsent(found) ? absent(found) : this.tell(id, found);
  }

  private async tell(id: string, found: Exclude<Found, Absent>): Promise<HttpResponse> {
    if (found.kind === "ended") {
      const { header, phase, counts } = found.ended;
      return answer(200, { ref: id, phase, dag_id: header.dag, owner: header.owner, steps: header.steps, counts });
    }
    const { header } = found;
    const counts = await this.counts(id, header);
    if (counts === null) return comeBack("state service unavailable");
    const begun = Object.keys(counts).some((state) => state !== "none" && state !== "scheduled");
    const phase: Phase = header.aborted ? "withdrawn" : begun ? "running" : "pending";
    return answer(200, { ref: id, phase, dag_id: header.dag, owner: header.owner, steps: header.steps, counts });
  }

  private async counts(id: string, header: Header): Promise<Readonly<Record<string, number>> | null> {
    const live = this.live(id);
    const summary = this.services.cache.entries.get(summaryKey(id));
    if (live === null && header.steps >= LARGE_RUN) {
      const numbers = summary === undefined ? [header.steps] : asArray(summary.value, "summary").map(Number);
      return countsOf((_, at) => numbers[at] ?? 0);
    }
    const states = live ?? (await this.glimpses.look(id, header));
    return states === null ? null : countsOf((state) => states.count(state));
  }

  private async steps(id: string, query: URLSearchParams): Promise<HttpResponse> {
    const from = Number(query.get("from") ?? 0);
    if (!Number.isInteger(from) || from < 0) return refuse(400, "from: not a step's number");
    const found = await this.find(id);
    if (isAbsent(found)) return absent(found);
    const header = found.kind === "current" ? found.header : found.ended.header;
    const states = found.kind === "current" ? (this.live(id) ?? (await this.glimpses.look(id, header))) : null;
    const ended = found.kind === "ended" ? await this.endedStates(id, found.ended) : null;
    if (states === null && ended === null) return comeBack("state service unavailable");
    const plan = states?.plan ?? ended?.plan;
    const page = (plan?.steps ?? []).slice(from, from + STEPS_PAGE).map((step, index) => {
      const at = from + index;
      const state: StepState = states?.stateOf(at) ?? ended?.finals.get(at) ?? "none";
      const attempt = states?.attemptOf(at) ?? 0;
      const job = attempt === 0 ? {} : { try: tryOf(attempt), job: jobIdOf(id, header.digest, at, attempt) };
      return { n: at, step: step.id, state, ...job };
    });
    const next = from + STEPS_PAGE < header.steps ? from + STEPS_PAGE : null;
    return answer(200, { ref: id, steps: page, next });
  }

  private async endedStates(
    id: string,
    { header, states }: Ended,
  ): Promise<{ plan: Plan; finals: ReadonlyMap<number, FinalState>; clearings: ReadonlyMap<number, number> } | null> {
    const { store } = this.services;
    const plan = await loadPlan(store, id, header);
    const saved = states === null ? await loadSaved(store, id, header) : readSegments(header.segment, [states]);
    return plan === null || saved === null ? null : { plan, ...saved };
  }

  private async list(query: URLSearchParams): Promise<HttpResponse> {
    const { cache, store } = this.services;
    if (!(await cache.sync())) return comeBack("state service unavailable");
    const from = query.get("from") ?? "";
    if (from !== "" && !isRunId(from)) return refuse(400, "from: not a graph id");
    if (query.get("state") === "ended") {
      const reply = await store.page(endedPrefix, from === "" ? "" : endedKey(from), RUNS_PAGE);
      if (reply.kind !== "ok") return comeBack("state service unavailable");
      const graphs = reply.value.entries.map((entry) => {
        const { header, phase } = readEnded(entry.value);
        return { ref: entry.key.slice(endedPrefix.length), phase, dag_id: header.dag, owner: header.owner };
      });
      return answer(200, { graphs, next: reply.value.more ? (graphs.at(-1)?.ref ?? null) : null });
    }
    const ids = [...cache.entries.keys()].flatMap((key) => graphOfKey(key) ?? []).sort();
    const page = ids.filter((id) => id > from).slice(0, RUNS_PAGE);
    const graphs = page.map((id) => {
      const { dag, owner, aborted, steps } = readHeader(cache.entries.get(graphKey(id))?.value);
      return { ref: id, phase: aborted ? "withdrawn" : "current", dag_id: dag, owner, steps };
    });
    const last = page.at(-1);
    return answer(200, { graphs, next: last !== undefined && last !== ids.at(-1) ? last : null });
  }

  // Abort and clear -----------------------------------------------------------------------------------------

  private async abort(id: string): Promise<HttpResponse> {
    const { transactions } = this.services;
    for (let tries = 0; tries < TRIES; tries += 1) {
      const found = await this.find(id);
      if (isAbsent(found)) return absent(found);
      if (found.kind === "ended") return answer(200, { ref: id, phase: found.ended.phase });
      if (found.header.aborted) return answer(200, { ref: id, phase: "withdrawn" });
      const value: Header = { ...found.header, aborted: true, clear: null };
      const result = await transactions.submit(
        new Map([[graphKey(id), found.version]]),
        [{ kind: "put", key: graphKey(id), value: writeHeader(value) }],
        "cancellation",
      );
      if (result.kind === "ok") return answer(200, { ref: id, phase: "withdrawn" });
      if (result.kind !== "conflict") return comeBack("state service unavailable");
    }
    return comeBack("busy");
  }

  private async clear(id: string, body: string): Promise<HttpResponse> {
    const value = parseJson(body);
    const { isClear, whyNot } = await describing();
    if (!isClear(value)) return refuse(400, whyNot(isClear));
    const { step, downstream = true } = value;
    for (let tries = 0; tries < TRIES; tries += 1) {
      const found = await this.find(id);
      if (isAbsent(found)) return absent(found);
      const header = found.kind === "current" ? found.header : found.ended.header;
      if (header.aborted) return refuse(409, `${id} was withdrawn`);
      if (header.round >= MOST_CLEARINGS) return refuse(409, `${id} was cleared ${MOST_CLEARINGS} times: run it anew`);
      if (header.clear !== null) return comeBack("an earlier clearing is under way");
      const plan = await loadPlan(this.services.store, id, header);
      if (plan === null) return comeBack("state service unavailable");
      // The name of a mapped task selects all of its steps.
      const steps = plan.steps.flatMap((one, at) => (one.id === step || one.id.startsWith(`${step}[`) ? [at] : []));
      if (steps.length === 0) return refuse(404, `no step ${step}`);
      const done =
        found.kind === "current"
          ? await this.clearCurrent(id, found, { steps, downstream })
          : await this.clearEnded(id, found, plan, { steps, downstream });
      if (done !== null) return done;
    }
    return comeBack("busy");
  }

  /** Only stores the request: the shard leader carries it out, since it knows which attempts are running. */
  private async clearCurrent(
    id: string,
    { header, version }: Extract<Found, { kind: "current" }>,
    clear: Header["clear"],
  ): Promise<HttpResponse | null> {
    const value: Header = { ...header, clear };
    const result = await this.services.transactions.submit(
      new Map([[graphKey(id), version]]),
      [{ kind: "put", key: graphKey(id), value: writeHeader(value) }],
      "user",
    );
    if (result.kind === "ok") return answer(200, { ref: id, phase: "running" });
    return result.kind === "conflict" ? null : comeBack("state service unavailable");
  }

  /** No attempt is running, so the clear is carried out at once; steps that are not cleared keep their states. */
  private async clearEnded(
    id: string,
    { ended, version }: Extract<Found, { kind: "ended" }>,
    plan: Plan,
    clear: NonNullable<Header["clear"]>,
  ): Promise<HttpResponse | null> {
    const states = await this.endedStates(id, ended);
    if (states === null) return comeBack("state service unavailable");
    const { header } = ended;
    const cleared = closure(plan, clear.steps, clear.downstream);
    const round = header.round + 1;
    const acceptedMs = Math.round(this.services.wallClock?.() ?? 0);
    const next: Header = { ...header, round, clear: null, timedOut: false, acceptedMs };
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
    if (result.kind === "ok") return answer(200, { ref: id, phase: "running" });
    return result.kind === "conflict" ? null : comeBack("state service unavailable");
  }
}
