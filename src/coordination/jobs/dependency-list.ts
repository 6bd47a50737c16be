/**
 * Stores job dependency lists that are too long for the job record, split over several records.
 * @module
 */
import { createHash } from "node:crypto";
import { formatJson, type Uint64 } from "../../protocol/json.js";
import { encodeJobRecord, type JobRecord } from "../../storage/job-records.js";
import { dependencyListKey } from "../../storage/keys.js";
import type { Services } from "../context.js";

/** Bytes of a part's value in addition to its ids. */
const PART_OVERHEAD_BYTES = 16;
/** Quotation marks and comma of an id in the JSON text. */
const ID_OVERHEAD_BYTES = 3;
/** Hexadecimal digits of a list's digest that are part of its keys. */
const DIGEST_LENGTH = 24;
/** Conditions permitted in a transaction for each permitted write. */
const CONDITIONS_PER_WRITE = 4;
/** Conditions of the transaction that accepts the job, besides those of the list. */
const JOB_CONDITIONS = 2;

/** A job record within the size limit, and the conditions for writing it. */
export interface PreparedRecord {
  readonly record: JobRecord;
  /** Required versions of the dependency list's parts, by key. */
  readonly conditions: ReadonlyMap<string, Uint64>;
}

/** Splits the ids into parts whose values have at most `maxBytes` bytes each. */
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

/** Writes long dependency lists in parts, each under its own key. */
export class DependencyListWriter {
  constructor(private readonly services: Pick<Services, "transactions" | "store">) {}

  /**
   * Returns the record in at most `maxBytes` bytes. A dependency list too long for that is written to the store first,
   * in parts. Null: the parts could not be written.
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

  /** The part's version; null: unknown. An existing value is identical, since the key contains the list's digest. */
  private async writePart(key: string, ids: readonly string[]): Promise<Uint64 | null> {
    const { transactions, store } = this.services;
    const result = await transactions.submit(new Map([[key, 0]]), [{ kind: "put", key, value: ids }], "user");
    if (result.kind === "ok") return result.version;
    if (result.kind !== "conflict") return null;
    const existing = await store.get(key);
    return existing.kind === "ok" ? existing.value.version : null;
  }
}
