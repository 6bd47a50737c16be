/**
 * The record of answered start commands, kept for the next leader of a shard. Only leaders of the version before start tasks by
 * direct commands, so that it concerns tasks that they have placed.
 */

import type { ShardState } from "../../cluster/shard-state.js";
import { mayStartLate, type Task } from "../../cluster/task.js";
import type { Uint64 } from "../../protocol/json.js";
import {
  type AnsweredStartsRecord,
  decodeAnsweredStarts,
  encodeAnsweredStarts,
} from "../../storage/answered-starts-record.js";
import { answeredStartsKey } from "../../storage/keys.js";
import type { SubmissionResult } from "../../storage/pending-transaction.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { Services, ShardLease } from "../context.js";

const WRITE_INTERVAL = seconds(2);
/** The record names no more machines, so that its value stays small. */
const MAX_MACHINES = 256;

/** What the record says, whoever wrote it. */
type Claims = Pick<AnsweredStartsRecord, "revision" | "unansweredMachines">;

const isSameClaims = (a: Claims, b: Claims): boolean =>
  a.revision === b.revision &&
  a.unansweredMachines.length === b.unansweredMachines.length &&
  a.unansweredMachines.every((name, index) => name === b.unansweredMachines[index]);

/** The worker has listed the attempt, and no start without a response may be delivered any more. */
export const isStartAnswered = (task: Task, now: Micros): boolean =>
  task.startCommand.kind === "observed" && !mayStartLate(task, now);

/**
 * Keeps on record which placed tasks have no start command without a response, so that the next leader holds only the
 * others on their machines (docs/heartbeat-evidence.md).
 *
 * The argument. A task that a leader of the version before has placed is in `ShardState.unconfirmedStarts` of each leader
 * after it. It leaves the set when it counts as answered, just before a write says so, and never comes back: whatever
 * starts it once more is a response to a heartbeat, which is never carried out late. Whatever is
 * placed after the record was built gets a higher version than its `revision`. So what a record says stays true as long
 * as its writer leads, however late it is applied, and while the next leader goes by the same rule. A leader in between of
 * an older version does not: the record is believed only from the leader just before.
 */
export class AnsweredStarts {
  /** What the leader before left on record; null: nothing that is to be believed. */
  private readonly inherited: Claims | null;
  /** The machines that it excepts, for a lookup by each placed task of the shard. */
  private readonly inheritedExceptions: ReadonlySet<string>;
  /** What this leader has on record; null: nothing. */
  private recordedClaims: Claims | null = null;
  private version: Uint64;
  private writing = false;
  private nextWriteAt = 0 as Micros;

  constructor(
    private readonly services: Pick<Services, "cache" | "clock" | "transactions">,
    private readonly lease: ShardLease,
    private readonly shard: Pick<ShardState, "unconfirmedStarts">,
    private readonly guard: (work: Promise<unknown>) => Promise<void>,
  ) {
    const entry = services.cache.entries.get(this.key);
    this.version = entry?.version ?? 0;
    const record = entry === undefined ? null : decodeAnsweredStarts(entry.value);
    this.inherited = record !== null && record.epoch === lease.epoch - 1 ? record : null;
    this.inheritedExceptions = new Set(this.inherited?.unansweredMachines);
  }

  private get key(): string {
    return answeredStartsKey(this.lease.shard);
  }

  /** Whether it is on record that every start was answered of a placement in a range record of this version. */
  wasAnswered(version: Uint64, machine: string): boolean {
    if (this.inherited === null) return false;
    return version <= this.inherited.revision && !this.inheritedExceptions.has(machine);
  }

  /** Writes the record where it has changed; called again and again. */
  publish(): void {
    const { clock, cache } = this.services;
    const now = clock.now();
    const revision = cache.currentRevision;
    if (this.writing || now < this.nextWriteAt || revision === null) return;
    this.nextWriteAt = (now + WRITE_INTERVAL) as Micros;
    const claims = this.buildClaims(revision, now);
    if (claims === null || (this.recordedClaims !== null && isSameClaims(claims, this.recordedClaims))) return;
    this.writing = true;
    void this.guard(this.write(claims)).then(() => {
      this.writing = false;
    });
  }

  /** What can be said now; with too many machines to be named, what was said before. Null: nothing. */
  private buildClaims(revision: Uint64, now: Micros): Claims | null {
    const { recordedClaims } = this;
    const unansweredMachines = this.unansweredMachines(now);
    if (unansweredMachines === null) return recordedClaims ?? this.inherited;
    // Up to this leader's own last write, nothing is on record that it did not know of then.
    const isUnchanged = recordedClaims !== null && revision <= this.version;
    return { revision: isUnchanged ? recordedClaims.revision : revision, unansweredMachines };
  }

  /** The machines of tasks that do not count as answered, in order of their names; null: too many to be named. */
  private unansweredMachines(now: Micros): readonly string[] | null {
    const { unconfirmedStarts } = this.shard;
    const machines = new Set<string>();
    for (const task of unconfirmedStarts) {
      if (isStartAnswered(task, now)) unconfirmedStarts.delete(task);
      else if (task.machine !== null) machines.add(task.machine.name);
    }
    return machines.size > MAX_MACHINES ? null : [...machines].sort();
  }

  private async write(claims: Claims): Promise<void> {
    const { transactions, cache } = this.services;
    const conditions = new Map([
      [this.lease.key, this.lease.version],
      [this.key, this.version],
    ]);
    const record: AnsweredStartsRecord = {
      epoch: this.lease.epoch,
      revision: claims.revision,
      unansweredMachines: claims.unansweredMachines,
    };
    // Never a deletion: under version 0 an earlier write without a response could be applied later.
    const put = { kind: "put", key: this.key, value: encodeAnsweredStarts(record) } as const;
    const result: SubmissionResult = await transactions.submit(conditions, [put], "normal");
    if (result.kind === "ok") {
      this.version = result.version;
      this.recordedClaims = claims;
    } else if (result.kind === "conflict" && (await cache.sync())) {
      // One of this controller's own writes without an answer may have been applied.
      this.version = cache.entries.get(this.key)?.version ?? 0;
    }
  }
}
