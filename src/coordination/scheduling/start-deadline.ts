/** Objectives for the start of jobs, and what they make urgent. */
import type { Job } from "../../cluster/job.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Settings } from "../../settings/settings.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** Classes expected to start within this time are urgent, whatever their rank. */
const URGENT_START = seconds(30);
/** The share of the time in which a class is expected to start that may pass before others are preempted for it. */
export const MAX_QUEUE_SHARE = 0.5;

/** The shortest time in which the class's tasks, or its team's guaranteed ones, are expected to start; else null. */
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

/** How long the class's tasks may wait for what comes free by itself, in microseconds. */
export const maxQueueTime = (spec: JobSpec, settings: Pick<Settings, "objectives" | "teams">): number =>
  (startDeadline(spec, settings) ?? 0) * MAX_QUEUE_SHARE;

/** Jobs of this rank and above it (lower numbers) are urgent. */
const HIGH_RANK = 1;

/**
 * Work whose starts and ends go before others' where the key-value store's writes are short: of the upper ranks, within a
 * guarantee, or of a class that is to start within moments.
 */
const isUrgent = (
  { spec, withinGuarantee, effectiveRank }: Pick<Job, "spec" | "withinGuarantee" | "effectiveRank">,
  settings: Pick<Settings, "objectives" | "teams">,
): boolean => {
  if (withinGuarantee || effectiveRank <= HIGH_RANK) return true;
  const within = startDeadline(spec, settings);
  return within !== null && within <= URGENT_START;
};

/** The priority with which the job's starts and ends are written. */
export const writePriorityOf = (
  job: Pick<Job, "spec" | "withinGuarantee" | "effectiveRank">,
  settings: Pick<Settings, "objectives" | "teams">,
): "urgent" | "normal" => (isUrgent(job, settings) ? "urgent" : "normal");
