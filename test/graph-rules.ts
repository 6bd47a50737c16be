/**
 * Reference evaluation of Airflow's trigger rules, independent of the code under test: on lists of states instead of
 * counters. Computes the final states of a run from the given outcome of each attempt, without any order of events.
 */
import type { Outcome, Plan } from "../src/graphs/index.js";

type Final = "success" | "failed" | "upstream_failed" | "skipped";

const bad = (state: Final): boolean => state === "failed" || state === "upstream_failed";

const RULES: Readonly<Record<string, (above: readonly Final[], setups: readonly Final[]) => "run" | Final>> = {
  all_success: (above) => {
    if (above.some(bad)) return "upstream_failed";
    return above.includes("skipped") ? "skipped" : "run";
  },
  all_failed: (above) => (above.every(bad) ? "run" : "skipped"),
  all_done: () => "run",
  all_done_min_one_success: (above) => {
    if (above.includes("success")) return "run";
    return above.every((state) => state === "skipped") ? "skipped" : "upstream_failed";
  },
  all_done_setup_success: (_, setups) => {
    if (setups.length === 0 || setups.includes("success")) return "run";
    return setups.every((state) => state === "skipped") ? "skipped" : "upstream_failed";
  },
  all_skipped: (above) => (above.every((state) => state === "skipped") ? "run" : "skipped"),
  one_success: (above) => {
    if (above.includes("success")) return "run";
    return above.every((state) => state === "skipped") ? "skipped" : "upstream_failed";
  },
  one_failed: (above) => (above.some(bad) ? "run" : "skipped"),
  one_done: (above) => (above.some((state) => state === "success" || state === "failed") ? "run" : "skipped"),
  none_failed: (above) => (above.some(bad) ? "upstream_failed" : "run"),
  none_failed_min_one_success: (above) => {
    if (above.some(bad)) return "upstream_failed";
    return above.every((state) => state === "skipped") ? "skipped" : "run";
  },
  none_skipped: (above) => (above.includes("skipped") ? "skipped" : "run"),
  always: () => "run",
};

/** Final state of each step of a run that is neither cleared nor halted. `outcome`: end of a step's n-th try, from 1. */
export const bruteForce = (
  plan: Plan,
  outcome: (step: number, attempt: number) => Outcome,
  attempts: (step: number) => number,
): readonly Final[] => {
  const ends: Final[] = [];
  const cutForAll: boolean[] = [];
  for (const [at, step] of plan.steps.entries()) {
    const above = step.upstream.map((up) => ends[up] ?? "failed");
    const setups = step.upstream.filter((up) => plan.steps[up]?.setup).map((up) => ends[up] ?? "failed");
    const cutters = step.upstream.filter((up) => plan.steps[up]?.cuts.includes(at) && ends[up] === "success");
    const forAll = cutters.some((up) => plan.steps[up]?.cutsAll) || step.upstream.some((up) => cutForAll[up]);
    const verdict = above.length === 0 ? "run" : (RULES[step.rule]?.(above, setups) ?? "failed");
    let end: Final;
    if (cutters.length > 0 || forAll) end = "skipped";
    else if (verdict !== "run") end = verdict;
    else if (step.kind === "skip") end = "skipped";
    else if (step.kind !== "job") end = "success";
    else {
      end = "failed";
      for (let attempt = 1; attempt <= attempts(at); attempt += 1) {
        const said = outcome(at, attempt);
        if (said === "done") end = "success";
        if (said !== "error" && said !== "timeout") break;
      }
    }
    ends.push(end);
    cutForAll.push(end === "skipped" && forAll);
  }
  return ends;
};
