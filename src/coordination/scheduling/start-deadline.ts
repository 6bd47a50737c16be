/** Start deadlines of jobs from the operator's objectives, and the write priorities that follow from them. */
import type { Job } from "../../cluster/job.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Settings } from "../../settings/settings.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** Jobs with a start deadline no longer than this are urgent, whatever their rank. */
const URGENT_START = seconds(30);
/**
 * The share of its start deadline for which a job may wait for capacity that becomes free by itself. During that time
 * preemption for the job must not cost more than it gains, and scale-out may count on such capacity.
 */
export const MAX_QUEUE_TIME_SHARE = 0.5;

/**
 * The time within which the job's tasks are expected to start, in microseconds: the shortest among the wait objectives
 * for its class and, if its team has a guarantee, the guarantee objectives. Null: no such objective.
 */
export const startDeadline = (
  spec: JobSpec,
  { objectives, teams }: Pick<Settings, "objectives" | "teams">,
): Micros | null => {
  const guaranteed = teams.get(spec.team)?.guaranteed;
  const hasGuarantee = guaranteed !== undefined && guaranteed.cpu + guaranteed.gpu > 0;
  let shortest: Micros | null = null;
  for (const { kind, jobClass, within } of objectives) {
    const applies = (kind === "wait" && jobClass === spec.jobClass) || (kind === "guarantee" && hasGuarantee);
    if (applies && within !== null && (shortest === null || within < shortest)) shortest = within;
  }
  return shortest;
};

/**
 * How long the job's tasks may wait for capacity that becomes free by itself, in microseconds; 0 without a start
 * deadline.
 */
export const maxQueueTime = (spec: JobSpec, settings: Pick<Settings, "objectives" | "teams">): number =>
  (startDeadline(spec, settings) ?? 0) * MAX_QUEUE_TIME_SHARE;

/** Jobs whose rank number is at most this are urgent: a lower number is a higher rank. */
const HIGH_RANK = 1;

/**
 * Whether the job's starts and ends are written before those of others while writes to the key-value store are scarce:
 * for jobs of high rank, within a guarantee, or with a short start deadline.
 */
const isUrgent = (
  { spec, withinGuarantee, effectiveRank }: Pick<Job, "spec" | "withinGuarantee" | "effectiveRank">,
  settings: Pick<Settings, "objectives" | "teams">,
): boolean => {
  if (withinGuarantee || effectiveRank <= HIGH_RANK) return true;
  const within = startDeadline(spec, settings);
  return within !== null && within <= URGENT_START;
};

/** The priority with which the job's starts and ends are written to the key-value store. */
export const writePriorityOf = (
  job: Pick<Job, "spec" | "withinGuarantee" | "effectiveRank">,
  settings: Pick<Settings, "objectives" | "teams">,
): "urgent" | "normal" => (isUrgent(job, settings) ? "urgent" : "normal");
