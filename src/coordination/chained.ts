import type { Job } from "../bookkeeping/picture.js";
import { awaitedKey, type EndRecord } from "../bookkeeping/records.js";
import { rankOf } from "../protocol/user.js";
import { type Micros, seconds } from "../transport/clock.js";
import type { BlockContext } from "./context.js";

/**
 * Jobs of a block that await others: which of them may begin, and with which rank and by when they count, which both follow from
 * the jobs that need them. Works along the chains by change; nothing of it is on record.
 */
export class Chained {
  constructor(
    private readonly context: Pick<BlockContext, "block" | "chains" | "clock" | "log" | "wall" | "wakeRound">,
    /** The job has come to be among those that wait for room. */
    private readonly ready: (job: Job) => void,
  ) {}

  added(job: Job, acceptedMs: number | null): void {
    const { chains, clock, wall } = this.context;
    const { id, deadlineS } = job.spec;
    job.blocked = !chains.mayBegin(id);
    if (deadlineS !== null && acceptedMs !== null && wall !== null) {
      const ago = Math.max(0, Math.round((wall() - acceptedMs) * 1_000));
      job.ownDue = (clock.now() - ago + seconds(deadlineS)) as Micros;
      job.dueAt = job.ownDue;
    }
    if (!job.blocked) this.ready(job);
    this.refresh([id, ...chains.awaitsOf(id)]);
  }

  /** All that it awaits is on record as done; waits count from now. */
  mayBegin(id: string): void {
    const job = this.context.block.jobs.get(id);
    if (job === undefined || !job.blocked || job.cancelled) return;
    job.blocked = false;
    job.seenAt = this.context.clock.now();
    this.context.log.info("job may begin", { job: id });
    this.ready(job);
    this.context.wakeRound();
  }

  /** The job's last word is on record; those that it needs may count for less without it. */
  ended(job: Job, end: EndRecord): void {
    const { chains } = this.context;
    const parents = chains.awaitsOf(job.spec.id);
    chains.learn(job.spec.id, end.phase);
    this.refresh(parents);
  }

  /** Withdrawn: what it needs does not count with its rank any more. */
  withdrawn(id: string): void {
    this.refresh(this.context.chains.awaitsOf(id));
  }

  /** Where its list of awaited jobs lies, if not in its own record. */
  partsOf(job: Job): readonly string[] {
    const { awaited, spec } = job;
    if (awaited === null) return [];
    return Array.from({ length: awaited.parts }, (_, part) => awaitedKey(spec.id, awaited.digest, part));
  }

  /** Ranks and times of these, and of what they need as far as something changes. */
  private refresh(ids: readonly string[]): void {
    const { block, chains } = this.context;
    const stack = [...ids];
    for (let id = stack.pop(); id !== undefined; id = stack.pop()) {
      const job = block.jobs.get(id);
      if (job === undefined) continue;
      let rank = rankOf(job.spec.priority);
      let due = job.ownDue;
      for (const child of chains.childrenOf(id)) {
        const other = block.jobs.get(child);
        if (other === undefined || other.cancelled) continue;
        rank = Math.min(rank, other.rank);
        if (other.dueAt === null) continue;
        const latest = (other.dueAt - seconds(other.spec.estimateS)) as Micros;
        due = due === null || latest < due ? latest : due;
      }
      if (rank === job.rank && due === job.dueAt) continue;
      job.rank = rank;
      job.dueAt = due;
      stack.push(...chains.awaitsOf(id));
    }
  }
}
