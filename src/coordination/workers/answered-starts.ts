/**
 * The record of answered start commands, kept for the next leader of a shard. Only leaders of the previous version
 * start tasks by direct commands, so the record concerns only tasks that they have placed.
 */

import type { ShardState } from "../../cluster/shard-state.js";
import { startMayBeInTransit, type Task } from "../../cluster/task.js";
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
/** Maximum number of machines that the record names, so that its value stays small. */
const MAX_MACHINES = 256;

/** The content of a record, whichever leader wrote it. */
type RecordContent = Pick<AnsweredStartsRecord, "revision" | "unansweredMachines">;

const isSameContent = (a: RecordContent, b: RecordContent): boolean =>
  a.revision === b.revision &&
  a.unansweredMachines.length === b.unansweredMachines.length &&
  a.unansweredMachines.every((name, index) => name === b.unansweredMachines[index]);

/** Whether the worker has listed the attempt and no start command without a response can still be delivered. */
export const isStartAnswered = (task: Task, now: Micros): boolean =>
  task.startCommand.kind === "observed" && !startMayBeInTransit(task, now);

/**
 * Keeps on record which placed tasks have no start command without a response, so that the next leader holds only the
 * others on their machines (docs/heartbeat-evidence.md).
 *
 * Correctness: a task placed by a leader of the previous version is in `ShardState.unconfirmedStarts` of each later
 * leader. It leaves the set when it counts as answered, just before a write records that, and never returns: any
 * further start is sent in a response to a heartbeat, which a worker never executes late. A placement made after the
 * record was built gets a higher version than its `revision`. So a record stays true while its writer leads, however
 * late the write is applied, and while the next leader follows the same rule. A leader of an older version in between
 * does not, so a record is trusted only from the immediately preceding leader.
 */
export class AnsweredStarts {
  /** The record of the immediately preceding leader; null: none that can be trusted. */
  private readonly inherited: RecordContent | null;
  /** The machines that it names, as a set: looked up for each placed task of the shard. */
  private readonly inheritedUnansweredMachines: ReadonlySet<string>;
  /** The content that this leader last wrote; null: none yet. */
  private recordedContent: RecordContent | null = null;
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
    this.inheritedUnansweredMachines = new Set(this.inherited?.unansweredMachines);
  }

  private get key(): string {
    return answeredStartsKey(this.lease.shard);
  }

  /** Whether all starts of a placement on `machine`, in a range record of `version`, are on record as answered. */
  wasAnswered(version: Uint64, machine: string): boolean {
    if (this.inherited === null) return false;
    return version <= this.inherited.revision && !this.inheritedUnansweredMachines.has(machine);
  }

  /** Writes the record if it has changed, at most once per `WRITE_INTERVAL`; called periodically. */
  publish(): void {
    const { clock, cache } = this.services;
    const now = clock.now();
    const revision = cache.currentRevision;
    if (this.writing || now < this.nextWriteAt || revision === null) return;
    this.nextWriteAt = (now + WRITE_INTERVAL) as Micros;
    const content = this.buildContent(revision, now);
    if (content === null || (this.recordedContent !== null && isSameContent(content, this.recordedContent))) return;
    this.writing = true;
    void this.guard(this.write(content)).then(() => {
      this.writing = false;
    });
  }

  /** The content to write now; with too many machines to name, the last content. Null: nothing to write. */
  private buildContent(revision: Uint64, now: Micros): RecordContent | null {
    const { recordedContent } = this;
    const unansweredMachines = this.unansweredMachines(now);
    if (unansweredMachines === null) return recordedContent ?? this.inherited;
    // Nothing has been written to the store since this leader's own last write.
    const isUnchanged = recordedContent !== null && revision <= this.version;
    return { revision: isUnchanged ? recordedContent.revision : revision, unansweredMachines };
  }

  /** Names of the machines with tasks that do not count as answered, sorted; null: too many to name. */
  private unansweredMachines(now: Micros): readonly string[] | null {
    const { unconfirmedStarts } = this.shard;
    const machines = new Set<string>();
    for (const task of unconfirmedStarts) {
      if (isStartAnswered(task, now)) unconfirmedStarts.delete(task);
      else if (task.machine !== null) machines.add(task.machine.name);
    }
    return machines.size > MAX_MACHINES ? null : [...machines].sort();
  }

  private async write(content: RecordContent): Promise<void> {
    const { transactions, cache } = this.services;
    const conditions = new Map([
      [this.lease.key, this.lease.version],
      [this.key, this.version],
    ]);
    const record: AnsweredStartsRecord = {
      epoch: this.lease.epoch,
      revision: content.revision,
      unansweredMachines: content.unansweredMachines,
    };
    // The record is never deleted: its version would be 0 again, so an earlier write without a response could be
    // applied.
    const put = { kind: "put", key: this.key, value: encodeAnsweredStarts(record) } as const;
    const result: SubmissionResult = await transactions.submit(conditions, [put], "normal");
    if (result.kind === "ok") {
      this.version = result.version;
      this.recordedContent = content;
    } else if (result.kind === "conflict" && (await cache.sync())) {
      // An earlier write of this controller without a response may have been applied.
      this.version = cache.entries.get(this.key)?.version ?? 0;
    }
  }
}
