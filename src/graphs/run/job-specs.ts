/** Job specifications of a plan's steps. */
import { decodeSubmission, isJobId } from "../../protocol/job-messages.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Plan, Step } from "./plan.js";

/** Each job of the plan once, with the first step that runs it: a check of that step holds for all steps of the job. */
export function* distinctJobs(plan: Plan): Iterable<readonly [Step, JobSpec]> {
  const seen = new Set<number>();
  for (const step of plan.steps) {
    if (step.job === null || seen.has(step.job)) continue;
    seen.add(step.job);
    yield [step, specOf(plan, step, "wk-step")];
  }
}

/** The specification of a step's job under the given job id. Throws for a step without a job and for an invalid id. */
export const specOf = (plan: Plan, step: Step, ref: string): JobSpec => {
  if (step.job === null || !isJobId(ref)) throw new Error(`step ${step.id}: no job, or invalid job id ${ref}`);
  return decodeSubmission({ ...plan.jobs[step.job], ref });
};
