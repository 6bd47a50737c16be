/** Finds steps whose trigger rule can never be met. */
import type { Plan } from "../run/plan.js";
import type { TriggerRule } from "../run/rules.js";

/** The final states that a step can reach, judged by the plan alone. */
interface PossibleStates {
  readonly success: boolean;
  readonly failed: boolean;
  readonly skipped: boolean;
  readonly upstreamFailed: boolean;
}

const NO_STATE: PossibleStates = { success: false, failed: false, skipped: false, upstreamFailed: false };

/** Tests on the possible states of a set of upstream steps. */
interface UpstreamStates {
  readonly every: (test: (states: PossibleStates) => boolean) => boolean;
  readonly some: (test: (states: PossibleStates) => boolean) => boolean;
}

const maySucceed = (states: PossibleStates): boolean => states.success;
/** In state `failed` or `upstream_failed`. */
const mayFail = (states: PossibleStates): boolean => states.failed || states.upstreamFailed;
const mayBeSkipped = (states: PossibleStates): boolean => states.skipped;

/** Whether the trigger rule can be met. `setups`: the upstream steps that are setup tasks. */
const ruleMayRun = (rule: TriggerRule, { every, some }: UpstreamStates, setups: UpstreamStates): boolean => {
  switch (rule) {
    case "always":
    case "all_done":
      return true;
    case "all_success":
      return every(maySucceed);
    case "all_failed":
      return every(mayFail);
    case "all_skipped":
      return every(mayBeSkipped);
    case "one_success":
    case "all_done_min_one_success":
      return some(maySucceed);
    case "one_failed":
      return some(mayFail);
    case "one_done":
      return some((states) => states.success || states.failed);
    case "none_failed":
      return every((states) => maySucceed(states) || mayBeSkipped(states));
    case "none_failed_min_one_success":
      return every((states) => maySucceed(states) || mayBeSkipped(states)) && some(maySucceed);
    case "none_skipped":
      return every((states) => maySucceed(states) || mayFail(states));
    case "all_done_setup_success":
      return setups.every(() => false) || setups.some(maySucceed);
  }
};

/** Whether the trigger rule can skip the step. */
const ruleMaySkip = (rule: TriggerRule, { every, some }: UpstreamStates): boolean => {
  switch (rule) {
    case "all_success":
    case "none_skipped":
    case "all_done_setup_success":
      return some(mayBeSkipped);
    case "all_failed":
      return some((states) => maySucceed(states) || mayBeSkipped(states));
    case "all_skipped":
      return some((states) => maySucceed(states) || mayFail(states));
    case "one_success":
    case "none_failed_min_one_success":
    case "all_done_min_one_success":
      return every(mayBeSkipped);
    case "one_failed":
      return every((states) => maySucceed(states) || mayBeSkipped(states));
    case "one_done":
      return every((states) => mayBeSkipped(states) || states.upstreamFailed);
    case "always":
    case "all_done":
    case "none_failed":
      return false;
  }
};

/** Whether the trigger rule can end the step as `upstream_failed`. */
const ruleMayFail = (rule: TriggerRule, { some }: UpstreamStates): boolean => {
  switch (rule) {
    case "all_success":
    case "one_success":
    case "none_failed":
    case "none_failed_min_one_success":
    case "all_done_min_one_success":
    case "all_done_setup_success":
      return some(mayFail);
    default:
      return false;
  }
};

/** Numbers of the steps whose trigger rule can never be met, whatever the final states of other steps. */
export const unsatisfiableSteps = (plan: Plan): readonly number[] => {
  const possible: PossibleStates[] = [];
  const unsatisfiable: number[] = [];
  const cut = new Set<number>();
  for (const [at, step] of plan.steps.entries()) {
    const statesOf = (numbers: readonly number[]): UpstreamStates => ({
      every: (test) => numbers.every((up) => test(possible[up] ?? NO_STATE)),
      some: (test) => numbers.some((up) => test(possible[up] ?? NO_STATE)),
    });
    const upstreamStates = statesOf(step.upstream);
    const setups = statesOf(step.upstream.filter((up) => plan.steps[up]?.setup === true));
    const runs = step.upstream.length === 0 || ruleMayRun(step.rule, upstreamStates, setups);
    if (!runs) unsatisfiable.push(at);
    const isCut = cut.has(at) || step.upstream.some((up) => cut.has(up));
    if (isCut) cut.add(at);
    for (const down of step.cuts) cut.add(down);
    possible.push({
      success: runs && step.kind !== "skip",
      failed: runs && step.kind === "job",
      skipped: isCut || step.kind === "skip" || (step.upstream.length > 0 && ruleMaySkip(step.rule, upstreamStates)),
      upstreamFailed: step.upstream.length > 0 && ruleMayFail(step.rule, upstreamStates),
    });
  }
  return unsatisfiable;
};
