import type { Job } from "../../cluster/job.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Settings } from "../../settings/settings.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** Classes expected to start within this time are in a hurry, whatever their rank. */
const URGENT_START = seconds(30);
/** Of the time in which a class is expected to start, so much may pass before it costs others more than it gains. */
export const MAX_QUEUE_SHARE = 0.5;

/** The shortest time in which the class's tasks, or its team's guaranteed ones, are expected to start; else null. */
export const startDeadline = (
  spec: JobSpec,
  { objectives, teams }: Pick<Settings, "objectives" | "teams">,
): Micros | null => {
  const guaranteed = teams.get(spec.team)?.guaranteed;
  const entitled = guaranteed !== undefined && guaranteed.cpu + guaranteed.gpu > 0;
  let least: Micros | null = null;
  for (const { kind, jobClass, within } of objectives) {
    const counts = (kind === "wait" && jobClass === spec.jobClass) || (kind === "guarantee" && entitled);
    if (counts && within !== null && (least === null || within < least)) least = within;
  }
  return least;
};

/** So long the class's tasks may wait for what comes free by itself. */
export const maxQueueTime = (spec: JobSpec, settings: Pick<Settings, "objectives" | "teams">): number =>
  (startDeadline(spec, settings) ?? 0) * MAX_QUEUE_SHARE;

const HIGH_RANK = 1;

/**
 * Work whose starts and ends go before others' where the state service's writes are short: of the upper ranks, within a
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

/** In which of the committer's queues the job's starts and ends wait. */
export const writePriorityOf = (
  job: Pick<Job, "spec" | "withinGuarantee" | "effectiveRank">,
  settings: Pick<Settings, "objectives" | "teams">,
): "urgent" | "normal" => (isUrgent(job, settings) ? "urgent" : "normal");
