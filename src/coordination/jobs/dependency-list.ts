/**
 * Records of job dependency lists that are too long for the job's own record.
 * @module
 */
import { createHash } from "node:crypto";
import { formatJson, type Uint64 } from "../../protocol/json.js";
import { encodeJobRecord, type JobRecord } from "../../storage/job-records.js";
import { dependencyListKey } from "../../storage/keys.js";
import type { Services } from "../context.js";

/** Bytes of a part's value beside its ids. */
const PART_OVERHEAD_BYTES = 16;
/** Quotation marks and comma of an id as sent. */
const ID_OVERHEAD_BYTES = 3;
/** Hexadecimal digits of a list's digest that stand in its keys. */
const DIGEST_LENGTH = 24;
/** Conditions that a transaction may have for each write that it may have. */
const CONDITIONS_PER_WRITE = 4;
/** Conditions of the job's own acceptance. */
const JOB_CONDITIONS = 2;

/** A job record that fits, and the conditions under which it may be written. */
export interface PreparedRecord {
  readonly record: JobRecord;
  /** Versions that the parts of its dependency list must have. */
  readonly conditions: ReadonlyMap<string, Uint64>;
}

/** Parts the ids so that each part's value has at most this many bytes. */
const splitIntoParts = (dependencyIds: readonly string[], maxBytes: number): readonly (readonly string[])[] => {
  const parts: string[][] = [];
  let bytes = Number.POSITIVE_INFINITY;
  for (const id of dependencyIds) {
    const idBytes = id.length + ID_OVERHEAD_BYTES;
    if (bytes + idBytes > maxBytes) {
      parts.push([]);
      bytes = PART_OVERHEAD_BYTES;
    }
    parts.at(-1)?.push(id);
    bytes += idBytes;
  }
  return parts;
};

const digestOf = (dependencyIds: readonly string[]): string =>
  createHash("sha256").update(dependencyIds.join(" ")).digest("hex").slice(0, DIGEST_LENGTH);

/** Writes long dependency lists in parts, each below a key of its own. */
export class DependencyListWriter {
  constructor(private readonly services: Pick<Services, "transactions" | "store">) {}

  /**
   * The record in a form of at most `maxBytes`: a list that is too long for it is written first, in parts. Null: the
   * parts could not be written now.
   */
  async prepareRecord(record: JobRecord, maxBytes: number): Promise<PreparedRecord | null> {
    const { dependencies, ...spec } = record.spec;
    if (dependencies === undefined || formatJson(encodeJobRecord(record)).length <= maxBytes)
      return { record, conditions: new Map() };
    const parts = splitIntoParts(dependencies, maxBytes);
    const digest = digestOf(dependencies);
    const versions = new Map<string, Uint64>();
    for (const [part, ids] of parts.entries()) {
      const key = dependencyListKey(spec.id, digest, part);
      const version = await this.writePart(key, ids);
      if (version === null) return null;
      versions.set(key, version);
    }
    const { maxWritesPerTransaction } = this.services.transactions;
    const maxConditions = Math.max(0, maxWritesPerTransaction * CONDITIONS_PER_WRITE - JOB_CONDITIONS);
    return {
      record: { ...record, spec, dependencyList: { digest, parts: parts.length } },
      conditions: new Map([...versions].slice(0, maxConditions)),
    };
  }

  /** The part's version; null: not known. The key holds the list's digest: a value that is there already is the same. */
  private async writePart(key: string, ids: readonly string[]): Promise<Uint64 | null> {
    const { transactions, store } = this.services;
    const result = await transactions.submit(new Map([[key, 0]]), [{ kind: "put", key, value: ids }], "user");
    if (result.kind === "ok") return result.version;
    if (result.kind !== "conflict") return null;
    const existing = await store.get(key);
    return existing.kind === "ok" ? existing.value.version : null;
  }
}
