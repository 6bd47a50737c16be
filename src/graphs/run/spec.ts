import { isJobId, type JobSpec, readSubmission } from "../../protocol/user.js";
import type { Plan, Step } from "./plan.js";

/** The specification of a step's job under the given id. */
export const specOf = (plan: Plan, step: Step, ref: string): JobSpec => {
  if (step.job === null || !isJobId(ref)) throw new Error(`step ${step.id} has no job`);
  return readSubmission({ ...plan.jobs[step.job], ref });
};
