import {
  type EndRecord,
  endKey,
  fullKey,
  homeBlock,
  type JobRecord,
  jobKey,
  memberOfKey,
  rangeKey,
  readEnd,
  readJob,
  readRange,
  writeJob,
} from "../bookkeeping/records.js";
import { gapFor } from "../bookkeeping/view.js";
import type { MachineType } from "../protocol/cloud.js";
import { jobSpecForm } from "../protocol/job-spec-form.js";
import { formatJson, Malformed, parseJson } from "../protocol/json.js";
import type { Entry } from "../protocol/state.js";
import { isJobId, type JobPhase, type JobSpec, phaseAnswer, readSubmission, statusAnswer } from "../protocol/user.js";
import { type Micros, ms, seconds } from "../transport/clock.js";
import type { Request, Response } from "../transport/http.js";
import { Awaited, type LastWord, withoutAwaits } from "./awaited.js";
import type { Services } from "./context.js";
import { neverRuns } from "./decisions/eligibility.js";
import { Lookups } from "./lookups.js";

const REMEMBERED_ENDS = 5_000;
/** A view older than this cannot be counted on for answers: say so to the load balancer. */
const STALE = seconds(4);
/** Beyond this wait for the write budget a submission is better told to come back. */
const MAX_BACKLOG = ms(1_500);
/** What a job's record holds beside its specification. */
const RECORD_BYTES = 160;
const CANCEL_TRIES = 4;
/** Users give up after a minute in all, so nobody is told to stay away for long. */
const MOST_WAIT = seconds(10);
const OVERLOAD_WAIT_S = 5;
const FULL_GAP = seconds(5);
const MOST_CLASSES = 64;
/** Of the state service's requests, all controllers together spend this share on looking up what has ended. */
const LOOKUP_SHARE = 0.15;

const answer = (status: number, body: unknown): Response => ({ status, body: formatJson(body) });
const comeBack = (why: string, inS = 1): Response => ({
  status: 503,
  body: formatJson({ error: why }),
  retryAfterS: inS,
});

/**
 * Written under a higher limit, a record may be too large to be written again. Nothing of a cancelled job is placed any more, so
 * that where it might have gone and what it awaited is not needed.
 */
const shrunk = (record: JobRecord, most: number): JobRecord =>
  formatJson(writeJob(record)).length <= most
    ? record
    : { ...record, spec: { ...withoutAwaits(record.spec), types: null } };

type Found =
  | { readonly kind: "current"; readonly entry: Entry }
  | { readonly kind: "ended"; readonly end: EndRecord }
  | { readonly kind: "never" }
  | { readonly kind: "unknown" };

/** What this controller holds, as far as users' questions go. */
export interface Holder {
  readonly running: (id: string) => { done: number; running: number } | null;
  /** Does this controller act for a block, so that workers report here? */
  readonly holds: () => boolean;
  /** Withdrawn with what it is part of, though its own record does not say so. */
  readonly withdrawn: (spec: JobSpec) => boolean;
}

/** The users' interface, the same at every controller. */
export class FrontDoor {
  private readonly ends = new Map<string, EndRecord>();
  /** Of ranges as they stand in the view; gone with the entry itself. */
  private readonly counts = new WeakMap<Entry, { readonly done: number; readonly running: number }>();
  private readonly lookups: Lookups;
  /** What the chains of jobs rest on. */
  readonly awaited: Awaited;
  /** By class, when a job of it was last taken although there was room for none. */
  private readonly takenFull = new Map<string, Micros>();
  /** Up to when those turned away have been told to come back. */
  private promisedUntil = 0;

  constructor(
    private readonly services: Services,
    private readonly types: ReadonlyMap<string, MachineType>,
    private readonly holder: Holder,
  ) {
    const { store, clock, log, settings } = services;
    const gap = gapFor(LOOKUP_SHARE, settings.state.rps, settings.controllers);
    this.lookups = new Lookups(store, clock, log, gap, (id, entry) => this.remember(id, readEnd(entry.value)));
    this.awaited = new Awaited(services, (id) => this.lastWord(id));
  }

  async handle(request: Request): Promise<Response> {
    const path = request.target.split("?")[0] ?? "";
    if (path === "/up") return request.method === "GET" ? this.up() : answer(405, { error: "use GET" });
    if (path === "/v2/runs") {
      return request.method === "POST" ? this.submit(request.body) : answer(405, { error: "use POST" });
    }
    const match = /^\/v2\/runs\/([^/]+)(\/abort)?$/.exec(path);
    const id = match?.[1];
    if (id === undefined) return answer(404, { error: "no such path" });
    const wanted = match?.[2] === undefined ? "GET" : "POST";
    if (request.method !== wanted) return answer(405, { error: `use ${wanted}` });
    if (!isJobId(id)) return answer(404, { error: "no such job" });
    return wanted === "GET" ? this.status(id) : this.cancel(id);
  }

  private up(): Response {
    const { view, clock, overload } = this.services;
    // Workers can only be answered here, users anywhere: they are sent to the others while there are any.
    if (overload.atLeast("coarse") && this.holder.holds() && this.others()) return comeBack("busy with workers");
    const fresh = view.freshAt !== null && clock.now() - view.freshAt < STALE;
    return fresh && this.types.size > 0 ? answer(200, { up: true }) : comeBack("not ready");
  }

  /** Are there controllers beside this one? */
  private others(): boolean {
    const { view, settings } = this.services;
    for (const key of view.entries.keys()) {
      const label = memberOfKey(key);
      if (label !== null && label !== settings.label) return true;
    }
    return false;
  }

  /**
   * When to come back, for what cannot be taken now: one after the other as fast as writes are possible, so that those
   * turned away do not all come back every second, to be turned away again.
   */
  private appointment(): Response {
    const { clock, settings, committer } = this.services;
    const now = clock.now();
    // The rate that there is once this wave is over, not the one that it has been cut to: with that, those turned away
    // in the first seconds were told to come back so late that a third of the writes went unused meanwhile.
    const perSecond = Math.max(1, committer.fullRate / settings.controllers);
    this.promisedUntil = Math.max(now + seconds(1), this.promisedUntil + seconds(1) / perSecond);
    const wait = Math.min(this.promisedUntil - now, MOST_WAIT);
    this.promisedUntil = now + wait;
    return comeBack("busy", Math.ceil(wait / 1_000_000));
  }

  /** Where nothing more can be taken, one job of each class every few seconds still is: else a class could come away with none. */
  private takenAllTheSame(jobClass: string): boolean {
    const now = this.services.clock.now();
    // Too many classes to tell apart: those that come last share one turn.
    const key = this.takenFull.has(jobClass) || this.takenFull.size < MOST_CLASSES ? jobClass : "";
    const last = this.takenFull.get(key);
    if (last !== undefined && now - last < FULL_GAP) return false;
    this.takenFull.set(key, now);
    return true;
  }

  private async submit(body: string): Promise<Response> {
    const { committer, view, overload, wall } = this.services;
    let spec: JobSpec;
    try {
      spec = readSubmission(parseJson(body));
    } catch (error) {
      if (error instanceof Malformed || error instanceof SyntaxError) return answer(400, { error: error.message });
      throw error;
    }
    if (!view.loaded || this.types.size === 0) return comeBack("machine types unknown");
    if (view.entries.has(jobKey(spec.id)) || this.ends.has(spec.id)) return this.status(spec.id);
    const refusal = this.refusal(spec, body);
    if (refusal !== null) return this.unlessAccepted(spec.id, refusal);
    const full = overload.atLeast("full") || view.entries.has(fullKey(homeBlock(spec.team)));
    if (full && !this.takenAllTheSame(spec.jobClass)) return comeBack("overloaded", OVERLOAD_WAIT_S);
    if (committer.backlog > MAX_BACKLOG) return this.appointment();
    const checked = await this.awaited.check(spec.awaits ?? []);
    if (checked.kind === "never") {
      return this.unlessAccepted(spec.id, answer(422, { error: `awaits: ${checked.id} was never accepted` }));
    }
    if (checked.kind === "unknown") return comeBack("state service unavailable");
    const acceptance: Partial<JobRecord> = wall === null ? {} : { acceptedMs: Math.round(wall()) };
    // What awaits a job that was called off is accepted all the same, and called off with it.
    const record: JobRecord = { spec, block: homeBlock(spec.team), cancelled: checked.withdrawn, ...acceptance };
    const prepared = await this.awaited.prepare(record, this.services.committer.valueBytes);
    if (prepared === null) return comeBack("state service unavailable");
    const key = jobKey(spec.id);
    const result = await committer.propose(
      new Map([...prepared.conditions, [key, 0], [endKey(spec.id), 0]]),
      [{ kind: "put", key, value: writeJob(prepared.record) }],
      "user",
    );
    switch (result.kind) {
      case "ok":
        return answer(201, phaseAnswer(spec.id, "queued"));
      case "conflict":
        return this.status(spec.id);
      case "too large":
        return answer(400, { error: "job: too large" });
      case "refused":
      case "lost":
        return comeBack("state service unavailable");
    }
  }

  /** What was accepted once, perhaps under other machine types, is never refused, and may have ended long ago. */
  private async unlessAccepted(id: string, refusal: Response): Promise<Response> {
    const found = await this.find(id);
    return found.kind === "never" ? refusal : this.status(id, found);
  }

  /** Why nothing like it is accepted, whoever asks. */
  private refusal(spec: JobSpec, body: string): Response | null {
    const { settings } = this.services;
    const never = neverRuns(spec, settings, this.types);
    if (never !== null) return answer(422, { error: never });
    // The state service would refuse the record however often it is sent.
    const most = this.services.committer.valueBytes;
    const tooLarge =
      body.length > most / 2 && formatJson(jobSpecForm.encode(withoutAwaits(spec))).length + RECORD_BYTES > most;
    return tooLarge ? answer(400, { error: "job: too large" }) : null;
  }

  /** A last word, or that there is none: nothing of what is current is looked at. */
  private async lastWord(id: string): Promise<LastWord> {
    const known = this.ends.get(id);
    if (known !== undefined) return { kind: "ended", end: known };
    const reply = await this.lookups.find(id);
    if (reply.kind === "ok") return { kind: "ended", end: readEnd(reply.value.value) };
    return { kind: reply.kind === "missing" ? "never" : "unknown" };
  }

  /** No older than the question: what any controller has told anybody before is known to the answer. */
  private async find(id: string): Promise<Found> {
    const { view } = this.services;
    const known = this.ends.get(id);
    if (known !== undefined) return { kind: "ended", end: known };
    if (!(await view.sync())) return { kind: "unknown" };
    const entry = view.entries.get(jobKey(id));
    if (entry !== undefined) return { kind: "current", entry };
    const word = await this.lastWord(id);
    if (word.kind !== "never") return word;
    // Accepted while it was looked up: others may have been told so before this answer gets there.
    const since = view.entries.get(jobKey(id));
    return since === undefined ? { kind: "never" } : { kind: "current", entry: since };
  }

  private remember(id: string, end: EndRecord): void {
    this.ends.set(id, end);
    if (this.ends.size <= REMEMBERED_ENDS) return;
    const oldest = this.ends.keys().next().value;
    if (oldest !== undefined) this.ends.delete(oldest);
  }

  private async status(id: string, known?: Found): Promise<Response> {
    const found = known ?? (await this.find(id));
    // Withdrawn with a job that it needs is told from that one's last word, which has to be read first.
    const settled = found.kind !== "current" || this.hasBegun(id) || (await this.awaited.settle(id));
    if (!settled) return comeBack("state service unavailable");
    if (found.kind !== "current") return this.statusOf(id, found);
    const entry = this.services.view.entries.get(jobKey(id));
    return this.statusOf(id, entry === undefined ? await this.find(id) : { kind: "current", entry });
  }

  /** Something of it has been placed: all that it awaits was on record as done. */
  private hasBegun(id: string): boolean {
    return this.services.view.entries.has(rangeKey(id, 0));
  }

  private statusOf(id: string, found: Found): Response {
    switch (found.kind) {
      case "unknown":
        return comeBack("state service unavailable");
      case "never":
        return answer(404, { error: "no such job" });
      case "ended":
        return answer(200, statusAnswer(id, found.end.phase, found.end.done, 0));
      case "current": {
        const { spec, ...record } = readJob(found.entry.value);
        const cancelled = record.cancelled || this.holder.withdrawn(spec);
        const counts = this.holder.running(id) ?? this.onRecord(spec);
        const phase: JobPhase = cancelled ? "cancelled" : counts.running > 0 ? "running" : "queued";
        const awaits = phase === "queued" && !this.hasBegun(id) ? this.services.chains.waitsFor(id) : [];
        return answer(200, statusAnswer(id, phase, counts.done, counts.running, awaits));
      }
    }
  }

  /** Where the job's block is held elsewhere, what is placed stands for what is running. */
  private onRecord(spec: JobSpec): { done: number; running: number } {
    let done = 0;
    let running = 0;
    for (let range = 0; ; range += 1) {
      const entry = this.services.view.entries.get(rangeKey(spec.id, range));
      if (entry === undefined) return { done, running };
      const counts = this.countsOf(entry);
      done += counts.done;
      running += counts.running;
    }
  }

  /** A range is read once for each of its versions, however often it is asked about. */
  private countsOf(entry: Entry): { readonly done: number; readonly running: number } {
    const known = this.counts.get(entry);
    if (known !== undefined) return known;
    let done = 0;
    let running = 0;
    for (const task of readRange(entry.value)) {
      if (task.kind === "done") done += 1;
      if (task.kind === "placed") running += 1;
    }
    const counts = { done, running };
    this.counts.set(entry, counts);
    return counts;
  }

  private async cancel(id: string): Promise<Response> {
    const { committer, view } = this.services;
    for (let tries = 0; tries < CANCEL_TRIES; tries += 1) {
      const entry = view.entries.get(jobKey(id));
      if (entry === undefined) {
        const found = await this.find(id);
        if (found.kind === "current") continue;
        if (found.kind === "never") return answer(404, { error: "no such job" });
        if (found.kind === "unknown") return comeBack("state service unavailable");
        return answer(200, phaseAnswer(id, found.end.phase));
      }
      const record = readJob(entry.value);
      if (record.cancelled || this.holder.withdrawn(record.spec)) return answer(200, phaseAnswer(id, "cancelled"));
      const value = shrunk({ ...record, cancelled: true }, this.services.committer.valueBytes);
      const result = await committer.propose(
        new Map([[entry.key, entry.version]]),
        [{ kind: "put", key: entry.key, value: writeJob(value) }],
        "cancel",
      );
      if (result.kind === "ok") return answer(200, phaseAnswer(id, "cancelled"));
      if (result.kind !== "conflict") return comeBack("state service unavailable");
      if (!(await view.sync())) return comeBack("state service unavailable");
    }
    return comeBack("busy");
  }
}
