import type { Job } from "../../bookkeeping/picture.js";
import { seconds } from "../../transport/clock.js";
import type { Picture } from "./picture.js";

/** Fewer than this of a class's or team's jobs begun: then those that have waited longest go first for a while. */
const TARGET = 0.6;
/** Whoever has waited for less has not been kept out yet. */
const LIFT_AFTER = seconds(20);
/** Of all room, what jobs may take that go first for this reason; bounds what it costs everybody else. */
const LIFT_SHARE = 0.1;

const groupsOf = ({ spec }: Job): readonly [string, string] => [`class ${spec.jobClass}`, `team ${spec.team}`];

/** How many jobs of each class and team have had a task placed since this holder took the block. */
export class Served {
  private readonly begun = new Map<string, number>();

  /** A task of the job is placed. */
  placed(job: Job): void {
    if (job.begun) return;
    job.begun = true;
    for (const group of groupsOf(job)) this.begun.set(group, (this.begun.get(group) ?? 0) + 1);
  }

  /** Groups of which too few jobs have begun, given those that wait for their first task. */
  starving(waiting: readonly Job[]): ReadonlySet<string> {
    const counts = new Map<string, number>();
    for (const job of waiting) for (const group of groupsOf(job)) counts.set(group, (counts.get(group) ?? 0) + 1);
    const starving = new Set<string>();
    for (const [group, count] of counts) {
      const begun = this.begun.get(group) ?? 0;
      if (begun < TARGET * (begun + count)) starving.add(group);
    }
    return starving;
  }
}

/** Jobs that go before all others in this round, the longest waiting first, and the room left to them. */
export interface Lifted {
  readonly jobs: readonly Job[];
  /** Thousandths of CPUs. */
  left: number;
}

/**
 * Strict priority lets a low rank wait for ever beside enough work of a higher one, and within a rank the larger tasks
 * keep the smaller ones out. A class or team of which too few jobs have begun has its longest waiting ones placed first,
 * as long as all such work together keeps to a small share of the room; it is not stopped for a higher rank either. The
 * rules are not concerned: nothing is stopped for it. `room`: thousandths of CPUs on all machines.
 */
export const liftStarved = (picture: Picture, served: Served, waiting: readonly Job[], room: number): Lifted => {
  const { block, now } = picture;
  const unbegun = waiting.filter(({ begun }) => !begun);
  const late = unbegun.filter(({ seenAt, onTrial }) => !onTrial && now - seenAt > LIFT_AFTER);
  if (late.length > 0) {
    const starving = served.starving(unbegun);
    for (const job of late) job.lifted ||= groupsOf(job).some((group) => starving.has(group));
  }
  const jobs = waiting.filter(({ lifted }) => lifted);
  if (jobs.length === 0) return { jobs, left: 0 };
  let used = 0;
  for (const { lifted, placed, spec } of block.jobs.values()) if (lifted) used += placed.size * spec.demand.cpu;
  return { jobs: jobs.sort((a, b) => a.seenAt - b.seenAt), left: room * LIFT_SHARE - used };
};
