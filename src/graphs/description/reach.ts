/** Finds steps whose trigger rule can never be met. */
import type { Plan } from "../run/plan.js";
import type { TriggerRule } from "../run/rules.js";

/** The final states that a step can reach, judged by the plan alone. */
interface Ends {
  readonly success: boolean;
  readonly failed: boolean;
  readonly skipped: boolean;
  readonly upstreamFailed: boolean;
}

const NEVER: Ends = { success: false, failed: false, skipped: false, upstreamFailed: false };

interface Look {
  readonly every: (test: (ends: Ends) => boolean) => boolean;
  readonly some: (test: (ends: Ends) => boolean) => boolean;
}

const good = (ends: Ends): boolean => ends.success;
const bad = (ends: Ends): boolean => ends.failed || ends.upstreamFailed;
const left = (ends: Ends): boolean => ends.skipped;

const mayRun = (rule: TriggerRule, { every, some }: Look, setups: Look): boolean => {
  switch (rule) {
    case "always":
    case "all_done":
      return true;
    case "all_success":
      return every(good);
    case "all_failed":
      return every(bad);
    case "all_skipped":
      return every(left);
    case "one_success":
    case "all_done_min_one_success":
      return some(good);
    case "one_failed":
      return some(bad);
    case "one_done":
      return some((ends) => ends.success || ends.failed);
    case "none_failed":
      return every((ends) => good(ends) || left(ends));
    case "none_failed_min_one_success":
      return every((ends) => good(ends) || left(ends)) && some(good);
    case "none_skipped":
      return every((ends) => good(ends) || bad(ends));
    case "all_done_setup_success":
      return setups.every(() => false) || setups.some(good);
  }
};

const maySkip = (rule: TriggerRule, { every, some }: Look): boolean => {
  switch (rule) {
    case "all_success":
    case "none_skipped":
    case "all_done_setup_success":
      return some(left);
    case "all_failed":
      return some((ends) => good(ends) || left(ends));
    case "all_skipped":
      return some((ends) => good(ends) || bad(ends));
    case "one_success":
    case "none_failed_min_one_success":
    case "all_done_min_one_success":
      return every(left);
    case "one_failed":
      return every((ends) => good(ends) || left(ends));
    case "one_done":
      return every((ends) => left(ends) || ends.upstreamFailed);
    case "always":
    case "all_done":
    case "none_failed":
      return false;
  }
};

const mayFailAbove = (rule: TriggerRule, { some }: Look): boolean => {
  switch (rule) {
    case "all_success":
    case "one_success":
    case "none_failed":
    case "none_failed_min_one_success":
    case "all_done_min_one_success":
    case "all_done_setup_success":
      return some(bad);
    default:
      return false;
  }
};

/** Numbers of the steps whose trigger rule can never be met, whatever the final states of other steps. */
export const neverReached = (plan: Plan): readonly number[] => {
  const ends: Ends[] = [];
  const never: number[] = [];
  const cut = new Set<number>();
  for (const [at, step] of plan.steps.entries()) {
    const look = (numbers: readonly number[]): Look => ({
      every: (test) => numbers.every((up) => test(ends[up] ?? NEVER)),
      some: (test) => numbers.some((up) => test(ends[up] ?? NEVER)),
    });
    const above = look(step.upstream);
    const setups = look(step.upstream.filter((up) => plan.steps[up]?.setup === true));
    const runs = step.upstream.length === 0 || mayRun(step.rule, above, setups);
    if (!runs) never.push(at);
    const isCut = cut.has(at) || step.upstream.some((up) => cut.has(up));
    if (isCut) cut.add(at);
    for (const down of step.cuts) cut.add(down);
    ends.push({
      success: runs && step.kind !== "skip",
      failed: runs && step.kind === "job",
      skipped: isCut || step.kind === "skip" || (step.upstream.length > 0 && maySkip(step.rule, above)),
      upstreamFailed: step.upstream.length > 0 && mayFailAbove(step.rule, above),
    });
  }
  return never;
};
