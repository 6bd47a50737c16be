import { createHash } from "node:crypto";
import {
  awaitedKey,
  awaitsOf,
  type EndRecord,
  type JobRecord,
  jobKey,
  jobOfKey,
  readJob,
  writeJob,
} from "../bookkeeping/records.js";
import { formatJson, type Whole } from "../protocol/json.js";
import type { Change } from "../protocol/state.js";
import type { JobSpec } from "../protocol/user.js";
import { ms, sleep } from "../transport/clock.js";
import { describeError } from "../transport/log.js";
import type { Services } from "./context.js";

/** Last words looked up at once: more are kept waiting here than in the queue that all questions share. */
const AT_ONCE = 48;
const PAUSE = ms(200);
/** What it rests on may end while it is read. */
const SETTLE_TRIES = 4;
/** What a part's value holds beside its ids. */
const PART_BYTES = 16;

/** A job's last word on record; `never`: neither current nor ended. */
export type LastWord = { readonly kind: "ended"; readonly end: EndRecord } | { readonly kind: "never" | "unknown" };

/** What is to be said of a list of awaited jobs. `withdrawn`: one of them is, for good. */
export type Checked =
  | { readonly kind: "fine"; readonly withdrawn: boolean }
  | { readonly kind: "never"; readonly id: string }
  | { readonly kind: "unknown" };

/** A record that fits, and what has to be as it was when its transaction is carried out. */
export interface Prepared {
  readonly record: JobRecord;
  readonly conditions: ReadonlyMap<string, Whole>;
}

/** Reads what the chains of current jobs rest on, at every controller, and puts long lists of awaited jobs on record. */
export class Awaited {
  /** Named by a current job, and neither current nor ended. */
  private readonly nowhere = new Set<string>();

  constructor(
    private readonly services: Services,
    private readonly lastWord: (id: string) => Promise<LastWord>,
  ) {}

  /** What is current has changed. */
  changed(change: Change): void {
    const { chains, view, log } = this.services;
    const id = jobOfKey(change.key);
    if (id === null) return;
    if (change.kind === "delete") {
      chains.remove(id);
      return;
    }
    const record = readJob(change.value);
    const awaits = awaitsOf(record, view.entries);
    // Its parts are written before it and removed after it.
    if (awaits === null) log.error("list of awaited jobs incomplete", { job: id });
    chains.put(id, awaits ?? [id], record.cancelled);
  }

  /** Reads the last words on which the present state rests, for as long as the process lives. */
  async follow(): Promise<never> {
    const { chains, clock, log } = this.services;
    for (;;) {
      try {
        const questions = chains.questions();
        for (const id of this.nowhere) if (!questions.includes(id)) this.nowhere.delete(id);
        await this.read(questions.filter((id) => !this.nowhere.has(id)));
      } catch (error) {
        log.error("reading last words failed", { error: describeError(error) });
      }
      await sleep(clock, PAUSE);
    }
  }

  /** Once resolved to true, all on which the job's state rests has been read; false: it can't be told now. */
  async settle(id: string): Promise<boolean> {
    const { chains } = this.services;
    for (let tries = 0; tries < SETTLE_TRIES; tries += 1) {
      const questions = chains.questionsOf(id).filter((other) => !this.nowhere.has(other));
      if (questions.length === 0) return true;
      if (!(await this.read(questions))) return false;
    }
    return false;
  }

  private async read(ids: readonly string[]): Promise<boolean> {
    const { chains, view } = this.services;
    let all = true;
    for (let from = 0; from < ids.length; from += AT_ONCE) {
      await Promise.all(
        ids.slice(from, from + AT_ONCE).map(async (id) => {
          const word = await this.lastWord(id);
          if (word.kind === "ended") chains.learn(id, word.end.phase);
          else if (view.entries.has(jobKey(id))) return;
          else if (word.kind === "unknown") all = false;
          // Accepted jobs never vanish: an older version, which ignores the field, has taken a list that names what nobody
          // submitted. Whatever awaits it waits for ever, and its questions are answered all the same.
          else this.nowhere.add(id);
        }),
      );
    }
    return all;
  }

  /** May a job that awaits these be accepted? Rests on reads that left after the question came. */
  async check(awaits: readonly string[]): Promise<Checked> {
    const { view } = this.services;
    if (awaits.length === 0) return { kind: "fine", withdrawn: false };
    if (!(await view.sync())) return { kind: "unknown" };
    const others = awaits.filter((id) => !view.entries.has(jobKey(id)));
    let withdrawn = false;
    for (let from = 0; from < others.length; from += AT_ONCE) {
      const batch = others.slice(from, from + AT_ONCE);
      const words = await Promise.all(batch.map((id) => this.lastWord(id)));
      for (const [at, word] of words.entries()) {
        const id = batch[at] ?? "";
        if (word.kind === "ended") withdrawn ||= word.end.phase === "cancelled";
        else if (view.entries.has(jobKey(id))) continue;
        else return word.kind === "never" ? { kind: "never", id } : { kind: "unknown" };
      }
    }
    return { kind: "fine", withdrawn };
  }

  /** The record as it fits: a list that is too long for it is written first, in parts. Null: not to be had now. */
  async prepare(record: JobRecord, most: number): Promise<Prepared | null> {
    const { awaits, ...rest } = record.spec;
    if (awaits === undefined || formatJson(writeJob(record)).length <= most) return { record, conditions: new Map() };
    const parts = partsOf(awaits, most);
    const digest = createHash("sha256").update(awaits.join(" ")).digest("hex").slice(0, 24);
    const conditions = new Map<string, Whole>();
    for (const [part, ids] of parts.entries()) {
      const key = awaitedKey(rest.id, digest, part);
      const version = await this.writePart(key, ids);
      if (version === null) return null;
      conditions.set(key, version);
    }
    // As many as a transaction may have beside the job's own two.
    const kept = [...conditions].slice(0, Math.max(0, this.services.committer.mostWrites * 4 - 2));
    return { record: { ...record, spec: rest, awaited: { digest, parts: parts.length } }, conditions: new Map(kept) };
  }

  /** The key holds the list's digest: whatever is there already is the same. */
  private async writePart(key: string, ids: readonly string[]): Promise<Whole | null> {
    const { committer, store } = this.services;
    const result = await committer.propose(new Map([[key, 0]]), [{ kind: "put", key, value: ids }], "user");
    if (result.kind === "ok") return result.version;
    if (result.kind !== "conflict") return null;
    const there = await store.get(key);
    return there.kind === "ok" ? there.value.version : null;
  }
}

const partsOf = (awaits: readonly string[], most: number): readonly (readonly string[])[] => {
  const parts: string[][] = [];
  let bytes = Number.POSITIVE_INFINITY;
  for (const id of awaits) {
    const more = id.length + 3;
    if (bytes + more > most) {
      parts.push([]);
      bytes = PART_BYTES;
    }
    parts.at(-1)?.push(id);
    bytes += more;
  }
  return parts;
};

/** For the size of the record by itself. */
export const withoutAwaits = (spec: JobSpec): Omit<JobSpec, "awaits"> => {
  const { awaits: _, ...rest } = spec;
  return rest;
};
