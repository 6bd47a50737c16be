import type { MachineType } from "../../protocol/cloud.js";
import { decodeSubmission, encodePhase, encodeStatus, isJobId, type JobPhase } from "../../protocol/job-messages.js";
import { type JobSpec, jobSpecCodec } from "../../protocol/job-spec.js";
import { formatJson, MalformedMessageError, parseJson } from "../../protocol/json.js";
import type { KeyValueEntry } from "../../protocol/key-value-store.js";
import { decodeJobRecord, encodeJobRecord, type JobRecord } from "../../storage/job-records.js";
import { backpressureKey, jobKey, memberOfKey, outcomeKey, shardOf, taskRangeKey } from "../../storage/keys.js";
import { decodeOutcomeRecord, type OutcomeRecord } from "../../storage/outcome-records.js";
import { decodeTaskRange } from "../../storage/task-range-records.js";
import { requestInterval } from "../../storage/watch-cache.js";
import { type Micros, ms, seconds } from "../../transport/clock.js";
import type { HttpRequest, HttpResponse } from "../../transport/http.js";
import type { Services } from "../context.js";
import { DependencyResolver, type TerminalState, withoutDependencies } from "../jobs/dependency-resolver.js";
import { OutcomeReader } from "../jobs/outcome-reader.js";
import { neverRuns } from "../scheduling/eligibility.js";

const MAX_REMEMBERED_OUTCOMES = 5_000;
/** A view older than this cannot be counted on for answers: say so to the load balancer. */
const MAX_CACHE_AGE = seconds(4);
/** Beyond this wait for the write budget a submission is better told to come back. */
const MAX_USER_WRITE_DELAY = ms(1_500);
/** What a job's record holds beside its specification. */
const RECORD_OVERHEAD_BYTES = 160;
const MAX_CANCEL_ATTEMPTS = 4;
/** Users give up after a minute in all, so nobody is told to stay away for long. */
const MAX_RETRY_AFTER = seconds(10);
const OVERLOAD_RETRY_AFTER_S = 5;
const PRESSURE_ADMISSION_INTERVAL = seconds(5);
const MAX_TRACKED_CLASSES = 64;
/** Of the state service's requests, all controllers together spend this share on looking up what has ended. */
const LOOKUP_SHARE = 0.15;

const jsonResponse = (status: number, body: unknown): HttpResponse => ({ status, body: formatJson(body) });
const retryLater = (why: string, inS = 1): HttpResponse => ({
  status: 503,
  body: formatJson({ error: why }),
  retryAfterS: inS,
});

/**
 * Written under a higher limit, a record may be too large to be written again. Nothing of a cancelled job is placed any more, so
 * that where it might have gone and what it awaited is not needed.
 */
const shrinkToFit = (record: JobRecord, most: number): JobRecord =>
  formatJson(encodeJobRecord(record)).length <= most
    ? record
    : { ...record, spec: { ...withoutDependencies(record.spec), types: null } };

type JobLookup =
  | { readonly kind: "current"; readonly entry: KeyValueEntry }
  | { readonly kind: "ended"; readonly end: OutcomeRecord }
  | { readonly kind: "not-found" }
  | { readonly kind: "unknown" };

/** What this controller holds, as far as users' questions go. */
export interface LocalShards {
  readonly taskCounts: (id: string) => { done: number; running: number } | null;
  /** Does this controller act for a block, so that workers report here? */
  readonly isLeader: () => boolean;
  /** Withdrawn with what it is part of, though its own record does not say so. */
  readonly isWithdrawn: (spec: JobSpec) => boolean;
}

/** The users' interface, the same at every controller. */
export class JobApi {
  private readonly recentOutcomes = new Map<string, OutcomeRecord>();
  /** Of ranges as they stand in the view; gone with the entry itself. */
  private readonly countsByEntry = new WeakMap<KeyValueEntry, { readonly done: number; readonly running: number }>();
  private readonly outcomeReader: OutcomeReader;
  /** What the chains of jobs rest on. */
  readonly dependencyResolver: DependencyResolver;
  /** By class, when a job of it was last taken although there was room for none. */
  private readonly admittedUnderPressure = new Map<string, Micros>();
  /** Up to when those turned away have been told to come back. */
  private lastRetrySlot = 0;

  constructor(
    private readonly services: Services,
    private readonly types: ReadonlyMap<string, MachineType>,
    private readonly localShards: LocalShards,
  ) {
    const { store, clock, log, settings } = services;
    const gap = requestInterval(LOOKUP_SHARE, settings.store.requestsPerS, settings.controllers);
    this.outcomeReader = new OutcomeReader(store, clock, log, gap, (id, entry) =>
      this.rememberOutcome(id, decodeOutcomeRecord(entry.value)),
    );
    this.dependencyResolver = new DependencyResolver(services, (id) => this.readTerminalState(id));
  }

  async handle(request: HttpRequest): Promise<HttpResponse> {
    const path = request.target.split("?")[0] ?? "";
    if (path === "/up") return request.method === "GET" ? this.health() : jsonResponse(405, { error: "use GET" });
    if (path === "/v2/runs") {
      return request.method === "POST" ? this.submit(request.body) : jsonResponse(405, { error: "use POST" });
    }
    const match = /^\/v2\/runs\/([^/]+)(\/abort)?$/.exec(path);
    const id = match?.[1];
    if (id === undefined) return jsonResponse(404, { error: "no such path" });
    const wanted = match?.[2] === undefined ? "GET" : "POST";
    if (request.method !== wanted) return jsonResponse(405, { error: `use ${wanted}` });
    if (!isJobId(id)) return jsonResponse(404, { error: "no such job" });
    return wanted === "GET" ? this.status(id) : this.cancel(id);
  }

  private health(): HttpResponse {
    const { cache, clock, loadShedder } = this.services;
    // Workers can only be answered here, users anywhere: they are sent to the others while there are any.
    if (loadShedder.atLeast("degraded") && this.localShards.isLeader() && this.hasPeers())
      return retryLater("busy with workers");
    const fresh = cache.freshAsOf !== null && clock.now() - cache.freshAsOf < MAX_CACHE_AGE;
    return fresh && this.types.size > 0 ? jsonResponse(200, { up: true }) : retryLater("not ready");
  }

  /** Are there controllers beside this one? */
  private hasPeers(): boolean {
    const { cache, settings } = this.services;
    for (const key of cache.entries.keys()) {
      const label = memberOfKey(key);
      if (label !== null && label !== settings.label) return true;
    }
    return false;
  }

  /**
   * When to come back, for what cannot be taken now: one after the other as fast as writes are possible, so that those
   * turned away do not all come back every second, to be turned away again.
   */
  private assignRetrySlot(): HttpResponse {
    const { clock, settings, transactions } = this.services;
    const now = clock.now();
    // The rate that there is once this wave is over, not the one that it has been cut to: with that, those turned away
    // in the first seconds were told to come back so late that a third of the writes went unused meanwhile.
    const perSecond = Math.max(1, transactions.fullWritesPerSecond / settings.controllers);
    this.lastRetrySlot = Math.max(now + seconds(1), this.lastRetrySlot + seconds(1) / perSecond);
    const wait = Math.min(this.lastRetrySlot - now, MAX_RETRY_AFTER);
    this.lastRetrySlot = now + wait;
    return retryLater("busy", Math.ceil(wait / 1_000_000));
  }

  /** Where nothing more can be taken, one job of each class every few seconds still is: else a class could come away with none. */
  private admitUnderPressure(jobClass: string): boolean {
    const now = this.services.clock.now();
    // Too many classes to tell apart: those that come last share one turn.
    const key =
      this.admittedUnderPressure.has(jobClass) || this.admittedUnderPressure.size < MAX_TRACKED_CLASSES ? jobClass : "";
    const last = this.admittedUnderPressure.get(key);
    if (last !== undefined && now - last < PRESSURE_ADMISSION_INTERVAL) return false;
    this.admittedUnderPressure.set(key, now);
    return true;
  }

  private async submit(body: string): Promise<HttpResponse> {
    const { transactions, cache, loadShedder, wallClock } = this.services;
    let spec: JobSpec;
    try {
      spec = decodeSubmission(parseJson(body));
    } catch (error) {
      if (error instanceof MalformedMessageError || error instanceof SyntaxError)
        return jsonResponse(400, { error: error.message });
      throw error;
    }
    if (!cache.loaded || this.types.size === 0) return retryLater("machine types unknown");
    if (cache.entries.has(jobKey(spec.id)) || this.recentOutcomes.has(spec.id)) return this.status(spec.id);
    const permanentRefusal = this.refusal(spec, body);
    if (permanentRefusal !== null) return this.refuseUnlessAccepted(spec.id, permanentRefusal);
    const full = loadShedder.atLeast("saturated") || cache.entries.has(backpressureKey(shardOf(spec.team)));
    if (full && !this.admitUnderPressure(spec.jobClass)) return retryLater("overloaded", OVERLOAD_RETRY_AFTER_S);
    if (transactions.userWriteDelay > MAX_USER_WRITE_DELAY) return this.assignRetrySlot();
    const checked = await this.dependencyResolver.check(spec.dependencies ?? []);
    if (checked.kind === "not-found") {
      return this.refuseUnlessAccepted(
        spec.id,
        jsonResponse(422, { error: `awaits: ${checked.id} was never accepted` }),
      );
    }
    if (checked.kind === "unknown") return retryLater("state service unavailable");
    const acceptance: Partial<JobRecord> = wallClock === null ? {} : { acceptedMs: Math.round(wallClock()) };
    // What awaits a job that was called off is accepted all the same, and called off with it.
    const record: JobRecord = { spec, shard: shardOf(spec.team), cancelled: checked.cancelled, ...acceptance };
    const prepared = await this.dependencyResolver.prepareRecord(record, this.services.transactions.maxValueBytes);
    if (prepared === null) return retryLater("state service unavailable");
    const key = jobKey(spec.id);
    const result = await transactions.submit(
      new Map([...prepared.conditions, [key, 0], [outcomeKey(spec.id), 0]]),
      [{ kind: "put", key, value: encodeJobRecord(prepared.record) }],
      "user",
    );
    switch (result.kind) {
      case "ok":
        return jsonResponse(201, encodePhase(spec.id, "queued"));
      case "conflict":
        return this.status(spec.id);
      case "too large":
        return jsonResponse(400, { error: "job: too large" });
      case "refused":
      case "lost":
        return retryLater("state service unavailable");
    }
  }

  /** What was accepted once, perhaps under other machine types, is never refused, and may have ended long ago. */
  private async refuseUnlessAccepted(id: string, refusal: HttpResponse): Promise<HttpResponse> {
    const found = await this.findJob(id);
    return found.kind === "not-found" ? refusal : this.status(id, found);
  }

  /** Why nothing like it is accepted, whoever asks. */
  private refusal(spec: JobSpec, body: string): HttpResponse | null {
    const { settings } = this.services;
    const never = neverRuns(spec, settings, this.types);
    if (never !== null) return jsonResponse(422, { error: never });
    // The state service would refuse the record however often it is sent.
    const most = this.services.transactions.maxValueBytes;
    const tooLarge =
      body.length > most / 2 &&
      formatJson(jobSpecCodec.encode(withoutDependencies(spec))).length + RECORD_OVERHEAD_BYTES > most;
    return tooLarge ? jsonResponse(400, { error: "job: too large" }) : null;
  }

  /** A last word, or that there is none: nothing of what is current is looked at. */
  private async readTerminalState(id: string): Promise<TerminalState> {
    const known = this.recentOutcomes.get(id);
    if (known !== undefined) return { kind: "ended", end: known };
    const reply = await this.outcomeReader.find(id);
    if (reply.kind === "ok") return { kind: "ended", end: decodeOutcomeRecord(reply.value.value) };
    return { kind: reply.kind === "missing" ? "not-found" : "unknown" };
  }

  /** No older than the question: what any controller has told anybody before is known to the answer. */
  private async findJob(id: string): Promise<JobLookup> {
    const { cache } = this.services;
    const known = this.recentOutcomes.get(id);
    if (known !== undefined) return { kind: "ended", end: known };
    if (!(await cache.sync())) return { kind: "unknown" };
    const entry = cache.entries.get(jobKey(id));
    if (entry !== undefined) return { kind: "current", entry };
    const terminalState = await this.readTerminalState(id);
    if (terminalState.kind !== "not-found") return terminalState;
    // Accepted while it was looked up: others may have been told so before this answer gets there.
    const since = cache.entries.get(jobKey(id));
    return since === undefined ? { kind: "not-found" } : { kind: "current", entry: since };
  }

  private rememberOutcome(id: string, end: OutcomeRecord): void {
    this.recentOutcomes.set(id, end);
    if (this.recentOutcomes.size <= MAX_REMEMBERED_OUTCOMES) return;
    const oldest = this.recentOutcomes.keys().next().value;
    if (oldest !== undefined) this.recentOutcomes.delete(oldest);
  }

  private async status(id: string, known?: JobLookup): Promise<HttpResponse> {
    const found = known ?? (await this.findJob(id));
    // Withdrawn with a job that it needs is told from that one's last word, which has to be read first.
    const settled = found.kind !== "current" || this.hasStarted(id) || (await this.dependencyResolver.resolve(id));
    if (!settled) return retryLater("state service unavailable");
    if (found.kind !== "current") return this.describe(id, found);
    const entry = this.services.cache.entries.get(jobKey(id));
    return this.describe(id, entry === undefined ? await this.findJob(id) : { kind: "current", entry });
  }

  /** Something of it has been placed: all that it awaits was on record as done. */
  private hasStarted(id: string): boolean {
    return this.services.cache.entries.has(taskRangeKey(id, 0));
  }

  private describe(id: string, found: JobLookup): HttpResponse {
    switch (found.kind) {
      case "unknown":
        return retryLater("state service unavailable");
      case "not-found":
        return jsonResponse(404, { error: "no such job" });
      case "ended":
        return jsonResponse(200, encodeStatus(id, found.end.phase, found.end.completedTasks, 0));
      case "current": {
        const { spec, ...record } = decodeJobRecord(found.entry.value);
        const cancelled = record.cancelled || this.localShards.isWithdrawn(spec);
        const counts = this.localShards.taskCounts(id) ?? this.recordedCounts(spec);
        const phase: JobPhase = cancelled ? "cancelled" : counts.running > 0 ? "running" : "queued";
        const awaits =
          phase === "queued" && !this.hasStarted(id) ? this.services.dependencies.unmetDependencies(id) : [];
        return jsonResponse(200, encodeStatus(id, phase, counts.done, counts.running, awaits));
      }
    }
  }

  /** Where the job's block is held elsewhere, what is placed stands for what is running. */
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

  /** A range is read once for each of its versions, however often it is asked about. */
  private countsOf(entry: KeyValueEntry): { readonly done: number; readonly running: number } {
    const known = this.countsByEntry.get(entry);
    if (known !== undefined) return known;
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

  private async cancel(id: string): Promise<HttpResponse> {
    const { transactions, cache } = this.services;
    for (let tries = 0; tries < MAX_CANCEL_ATTEMPTS; tries += 1) {
      const entry = cache.entries.get(jobKey(id));
      if (entry === undefined) {
        const found = await this.findJob(id);
        if (found.kind === "current") continue;
        if (found.kind === "not-found") return jsonResponse(404, { error: "no such job" });
        if (found.kind === "unknown") return retryLater("state service unavailable");
        return jsonResponse(200, encodePhase(id, found.end.phase));
      }
      const record = decodeJobRecord(entry.value);
      if (record.cancelled || this.localShards.isWithdrawn(record.spec))
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
