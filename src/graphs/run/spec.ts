import { decodeSubmission, isJobId } from "../../protocol/job-messages.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Plan, Step } from "./plan.js";

/** Of steps that run the same job, the first one: what holds of it holds of all. */
export function* distinctJobs(plan: Plan): Iterable<readonly [Step, JobSpec]> {
  const seen = new Set<number>();
  for (const step of plan.steps) {
    if (step.job === null || seen.has(step.job)) continue;
    seen.add(step.job);
    yield [step, specOf(plan, step, "wk-step")];
  }
}

/** The specification of a step's job under the given id. */
export const specOf = (plan: Plan, step: Step, ref: string): JobSpec => {
  if (step.job === null || !isJobId(ref)) throw new Error(`step ${step.id} has no job`);
  return decodeSubmission({ ...plan.jobs[step.job], ref });
};
