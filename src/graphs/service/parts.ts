import { gunzipSync, gzipSync } from "node:zlib";
import type { Services } from "../../coordination/context.js";
import { parseJson, type Uint64 } from "../../protocol/json.js";
import type { WriteOperation } from "../../protocol/key-value-store.js";
import type { HttpResponse } from "../../transport/http.js";
import { describeError } from "../../transport/log.js";
import type { Part, Submission } from "../description/requests.js";
import { type Absent, answer, BUSY_S, comeBack, digestOf, type Found, MOST_BACKLOG, refuse, TRIES } from "./answers.js";
import { describing } from "./describing.js";
import {
  endedKey,
  graphKey,
  isRunId,
  partKey,
  partPrefix,
  readUpload,
  type Upload,
  uploadKey,
  writeUpload,
} from "./records.js";

/** Maximum length of a compressed part in base64, since a part is stored in one transaction. */
const MOST_PACKED = 48 * 1_024;
/** Maximum length of a definition assembled from its parts. */
const MOST_BODY = 4 * 1_024 * 1_024;

/** Operations of the graph API that the upload in parts uses. */
export interface PartsDoor {
  readonly find: (id: string) => Promise<Found>;
  readonly tell: (id: string, found: Exclude<Found, Absent>) => Promise<HttpResponse>;
  readonly submit: (submission: Submission, parts: readonly string[]) => Promise<HttpResponse>;
}

/** Accepts definitions that are too large for one request and are therefore sent in numbered parts. */
export class Parts {
  constructor(
    private readonly services: Services,
    private readonly door: PartsDoor,
  ) {}

  /** Parts may be sent to any controller, in any order and repeatedly; the last missing one submits the run. */
  async take(given: Part): Promise<HttpResponse> {
    const { ref: id, part, parts } = given;
    if (!isRunId(id)) return refuse(400, "ref: not a graph id like dr-night_2026-01-31");
    if (part >= parts) return refuse(400, `part: must be below ${parts}`);
    const pieces = this.piecesOf(given);
    if (pieces === null) return refuse(413, "text: send smaller parts");
    for (let tries = 0; tries < TRIES; tries += 1) {
      const known = await this.door.find(id);
      if (known.kind === "unknown") return comeBack("state service unavailable");
      // Either all parts were received already or this is another run; a single part does not tell which.
      if (known.kind !== "never") return this.door.tell(id, known);
      if (this.services.transactions.userWriteDelay > MOST_BACKLOG) return comeBack("busy", BUSY_S);
      const have = await this.keepPart(given, pieces);
      if (have === "again") continue;
      if (typeof have !== "number") return have;
      return have < parts ? answer(202, { ref: id, phase: "partial", parts, have }) : this.assemble(id, parts);
    }
    return comeBack("busy");
  }

  /** The part in its stored form, split into values; null if it does not fit into one transaction. */
  private piecesOf({ ref: id, part, text }: Part): readonly (WriteOperation & { readonly kind: "put" })[] | null {
    const { valueBytes, transactionWrites } = this.services.settings.store;
    const packed = gzipSync(text).toString("base64");
    const most = valueBytes - 200;
    const count = Math.ceil(packed.length / most);
    if (count > transactionWrites - 1 || packed.length > MOST_PACKED) return null;
    return Array.from({ length: count }, (_, at) => {
      const value = { text: packed.slice(at * most, (at + 1) * most), ...(at === 0 ? { digest: digestOf(text) } : {}) };
      return { kind: "put", key: partKey(id, part, at), value };
    });
  }

  /** Stores a part. Returns the number of stored parts, `again` to retry, or an error response. */
  private async keepPart(
    { ref: id, part, parts, text }: Part,
    pieces: readonly WriteOperation[],
  ): Promise<number | "again" | HttpResponse> {
    const { transactions, store, cache } = this.services;
    const key = uploadKey(id);
    const entry = cache.entries.get(key);
    const marker: Upload = entry === undefined ? { parts } : readUpload(entry.value);
    const have = marker.have ?? [];
    if (marker.parts !== parts)
      return refuse(409, `${id} is under way in ${marker.parts ?? "no"} parts: choose a new id`);
    if (have.includes(part)) {
      const known = await store.get(partKey(id, part, 0));
      if (known.kind !== "ok") return known.kind === "missing" ? "again" : comeBack("state service unavailable");
      if ((known.value.value as { readonly digest?: string }).digest === digestOf(text)) return have.length;
      return refuse(409, `part ${part} of ${id} is there with other content: choose a new id`);
    }
    const write: WriteOperation = { kind: "put", key, value: writeUpload({ parts, have: [...have, part] }) };
    // The marker is deleted once the run is accepted; these conditions keep a late part from creating it again.
    const conditions = new Map<string, Uint64>([
      [key, entry?.version ?? 0],
      [graphKey(id), 0],
      [endedKey(id), 0],
    ]);
    const put = await transactions.submit(conditions, [write, ...pieces], "user");
    if (put.kind === "ok") return have.length + 1;
    return put.kind === "conflict" ? "again" : comeBack("state service unavailable");
  }

  private async assemble(id: string, parts: number): Promise<HttpResponse> {
    const { store, log } = this.services;
    const listed = await store.list(partPrefix(id));
    if (listed.kind !== "ok") return comeBack("state service unavailable");
    const packed = new Map<number, string>();
    for (const { key, value } of listed.value.entries) {
      const part = Number(key.slice(partPrefix(id).length).split("/")[0]);
      packed.set(part, (packed.get(part) ?? "") + String((value as { readonly text?: unknown }).text ?? ""));
    }
    let whole = "";
    for (let part = 0; part < parts; part += 1) {
      const left = MOST_BODY - whole.length;
      if (left <= 0) return refuse(413, `more than ${MOST_BODY / 1_048_576} MiB`);
      const text = packed.get(part);
      if (text === undefined) return comeBack("parts are being cleared away");
      whole += gunzipSync(Buffer.from(text, "base64"), { maxOutputLength: left + 65_536 }).toString("utf8");
    }
    const submission = parseJson(whole);
    const { isSubmission, whyNot } = await describing();
    if (!isSubmission(submission)) return refuse(400, whyNot(isSubmission));
    if (submission.ref !== id) return refuse(400, "ref: differs between the parts and what they hold");
    log.info("graph complete", { run: id, parts, bytes: whole.length });
    return this.door.submit(
      submission,
      listed.value.entries.map((entry) => entry.key),
    );
  }

  /** Deletes the parts, then the marker: after a crash, the cleanup finds the remaining parts by their marker. */
  async clearAway(id: string, parts: readonly string[]): Promise<void> {
    const { transactions, log, cache } = this.services;
    try {
      await cache.sync();
      const mark = cache.entries.get(uploadKey(id));
      if (mark === undefined) return;
      const still = new Map([[mark.key, mark.version]]);
      for (const key of [...parts, mark.key]) {
        const result = await transactions.submit(still, [{ kind: "delete", key }], "maintenance");
        if (result.kind !== "ok") return;
      }
    } catch (error) {
      log.error("parts not cleared away", { run: id, error: describeError(error) });
    }
  }
}
