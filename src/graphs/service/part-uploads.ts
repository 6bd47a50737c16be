import { gunzipSync, gzipSync } from "node:zlib";
import type { Services } from "../../coordination/context.js";
import { parseJson, type Uint64 } from "../../protocol/json.js";
import type { WriteOperation } from "../../protocol/key-value-store.js";
import type { HttpResponse } from "../../transport/http.js";
import { describeError } from "../../transport/log.js";
import type { Part, Submission } from "../description/requests.js";
import { loadDescription } from "./load-description.js";
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
import {
  BUSY_RETRY_AFTER_S,
  digestOf,
  errorResponse,
  type FailedLookup,
  jsonResponse,
  MAX_WRITE_DELAY,
  MAX_WRITE_TRIES,
  type RunLookup,
  retryLater,
} from "./responses.js";

/** Maximum length of a compressed part in base64, since a part is stored in one transaction. */
const MAX_COMPRESSED_PART_CHARS = 48 * 1_024;
/** Maximum length of a definition assembled from its parts. */
const MAX_DEFINITION_CHARS = 4 * 1_024 * 1_024;

/** Operations of the graph API that the upload in parts uses. */
export interface PartUploadApi {
  readonly lookUp: (id: string) => Promise<RunLookup>;
  readonly statusResponse: (id: string, found: Exclude<RunLookup, FailedLookup>) => Promise<HttpResponse>;
  readonly submit: (submission: Submission, partKeys: readonly string[]) => Promise<HttpResponse>;
}

/** Accepts definitions that are too large for one request and are therefore sent in numbered parts. */
export class PartUploads {
  constructor(
    private readonly services: Services,
    private readonly api: PartUploadApi,
  ) {}

  /** Parts may be sent to any controller, in any order and repeatedly; the last missing one submits the run. */
  async receive(received: Part): Promise<HttpResponse> {
    const { ref: id, part, parts } = received;
    if (!isRunId(id)) return errorResponse(400, "ref: not a graph id like dr-night_2026-01-31");
    if (part >= parts) return errorResponse(400, `part: must be below ${parts}`);
    const pieces = this.piecesOf(received);
    if (pieces === null) return errorResponse(413, "text: send smaller parts");
    for (let tries = 0; tries < MAX_WRITE_TRIES; tries += 1) {
      const existing = await this.api.lookUp(id);
      if (existing.kind === "unavailable") return retryLater("state service unavailable");
      // Either all parts were received already or this is another run; a single part does not tell which.
      if (existing.kind !== "missing") return this.api.statusResponse(id, existing);
      if (this.services.transactions.userWriteDelay > MAX_WRITE_DELAY) return retryLater("busy", BUSY_RETRY_AFTER_S);
      const stored = await this.storePart(received, pieces);
      if (stored === "again") continue;
      if (typeof stored !== "number") return stored;
      return stored < parts
        ? jsonResponse(202, { ref: id, phase: "partial", parts, have: stored })
        : this.assemble(id, parts);
    }
    return retryLater("busy");
  }

  /** The part in its stored form, split into values; null if it does not fit into one transaction. */
  private piecesOf({ ref: id, part, text }: Part): readonly (WriteOperation & { readonly kind: "put" })[] | null {
    const { valueBytes, transactionWrites } = this.services.settings.store;
    const compressed = gzipSync(text).toString("base64");
    const maxPieceChars = valueBytes - 200;
    const count = Math.ceil(compressed.length / maxPieceChars);
    if (count > transactionWrites - 1 || compressed.length > MAX_COMPRESSED_PART_CHARS) return null;
    return Array.from({ length: count }, (_, at) => {
      const value = {
        text: compressed.slice(at * maxPieceChars, (at + 1) * maxPieceChars),
        ...(at === 0 ? { digest: digestOf(text) } : {}),
      };
      return { kind: "put", key: partKey(id, part, at), value };
    });
  }

  /** Stores a part. Returns the number of stored parts, `again` to retry, or an error response. */
  private async storePart(
    { ref: id, part, parts, text }: Part,
    pieces: readonly WriteOperation[],
  ): Promise<number | "again" | HttpResponse> {
    const { transactions, store, cache } = this.services;
    const key = uploadKey(id);
    const entry = cache.entries.get(key);
    const marker: Upload = entry === undefined ? { parts } : readUpload(entry.value);
    const have = marker.have ?? [];
    if (marker.parts !== parts)
      return errorResponse(409, `${id} is under way in ${marker.parts ?? "no"} parts: choose a new id`);
    if (have.includes(part)) {
      const firstPiece = await store.get(partKey(id, part, 0));
      if (firstPiece.kind !== "ok")
        return firstPiece.kind === "missing" ? "again" : retryLater("state service unavailable");
      if ((firstPiece.value.value as { readonly digest?: string }).digest === digestOf(text)) return have.length;
      return errorResponse(409, `part ${part} of ${id} is there with other content: choose a new id`);
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
    return put.kind === "conflict" ? "again" : retryLater("state service unavailable");
  }

  private async assemble(id: string, parts: number): Promise<HttpResponse> {
    const { store, log } = this.services;
    const listed = await store.list(partPrefix(id));
    if (listed.kind !== "ok") return retryLater("state service unavailable");
    const compressed = new Map<number, string>();
    for (const { key, value } of listed.value.entries) {
      const part = Number(key.slice(partPrefix(id).length).split("/")[0]);
      compressed.set(part, (compressed.get(part) ?? "") + String((value as { readonly text?: unknown }).text ?? ""));
    }
    let definition = "";
    for (let part = 0; part < parts; part += 1) {
      const left = MAX_DEFINITION_CHARS - definition.length;
      if (left <= 0) return errorResponse(413, `more than ${MAX_DEFINITION_CHARS / 1_048_576} MiB`);
      const text = compressed.get(part);
      if (text === undefined) return retryLater("parts are being cleared away");
      definition += gunzipSync(Buffer.from(text, "base64"), { maxOutputLength: left + 65_536 }).toString("utf8");
    }
    const submission = parseJson(definition);
    const { isSubmission, validationMessage } = await loadDescription();
    if (!isSubmission(submission)) return errorResponse(400, validationMessage(isSubmission));
    if (submission.ref !== id) return errorResponse(400, "ref: differs between the parts and what they hold");
    log.info("graph complete", { run: id, parts, bytes: definition.length });
    return this.api.submit(
      submission,
      listed.value.entries.map((entry) => entry.key),
    );
  }

  /** Deletes the parts, then the marker: after a crash, the cleanup finds the remaining parts by their marker. */
  async deleteParts(id: string, partKeys: readonly string[]): Promise<void> {
    const { transactions, log, cache } = this.services;
    try {
      await cache.sync();
      const marker = cache.entries.get(uploadKey(id));
      if (marker === undefined) return;
      const conditions = new Map([[marker.key, marker.version]]);
      for (const key of [...partKeys, marker.key]) {
        const result = await transactions.submit(conditions, [{ kind: "delete", key }], "maintenance");
        if (result.kind !== "ok") return;
      }
    } catch (error) {
      log.error("parts not cleared away", { run: id, error: describeError(error) });
    }
  }
}
