/**
 * Reference evaluation of Airflow's trigger rules, independent of the code under test: on lists of states instead of
 * counters. Computes the final states of a run from the given outcome of each attempt, without any order of events.
 */
import type { Outcome, Plan } from "../src/graphs/index.js";

type Final = "success" | "failed" | "upstream_failed" | "skipped";

const isFailure = (state: Final): boolean => state === "failed" || state === "upstream_failed";

const RULES: Readonly<Record<string, (upstream: readonly Final[], setups: readonly Final[]) => "run" | Final>> = {
  all_success: (upstream) => {
    if (upstream.some(isFailure)) return "upstream_failed";
    return upstream.includes("skipped") ? "skipped" : "run";
  },
  all_failed: (upstream) => (upstream.every(isFailure) ? "run" : "skipped"),
  all_done: () => "run",
  all_done_min_one_success: (upstream) => {
    if (upstream.includes("success")) return "run";
    return upstream.every((state) => state === "skipped") ? "skipped" : "upstream_failed";
  },
  all_done_setup_success: (_, setups) => {
    if (setups.length === 0 || setups.includes("success")) return "run";
    return setups.every((state) => state === "skipped") ? "skipped" : "upstream_failed";
  },
  all_skipped: (upstream) => (upstream.every((state) => state === "skipped") ? "run" : "skipped"),
  one_success: (upstream) => {
    if (upstream.includes("success")) return "run";
    return upstream.every((state) => state === "skipped") ? "skipped" : "upstream_failed";
  },
  one_failed: (upstream) => (upstream.some(isFailure) ? "run" : "skipped"),
  one_done: (upstream) => (upstream.some((state) => state === "success" || state === "failed") ? "run" : "skipped"),
  none_failed: (upstream) => (upstream.some(isFailure) ? "upstream_failed" : "run"),
  none_failed_min_one_success: (upstream) => {
    if (upstream.some(isFailure)) return "upstream_failed";
    return upstream.every((state) => state === "skipped") ? "skipped" : "run";
  },
  none_skipped: (upstream) => (upstream.includes("skipped") ? "skipped" : "run"),
  always: () => "run",
};

/** Final state of each step of a run without clearing or halt. `outcome`: end of a step's n-th try, counted from 1. */
export const expectedFinalStates = (
  plan: Plan,
  outcome: (step: number, attempt: number) => Outcome,
  attempts: (step: number) => number,
): readonly Final[] => {
  const ends: Final[] = [];
  const cutForAll: boolean[] = [];
  for (const [at, step] of plan.steps.entries()) {
    const upstream = step.upstream.map((up) => ends[up] ?? "failed");
    const setups = step.upstream.filter((up) => plan.steps[up]?.setup).map((up) => ends[up] ?? "failed");
    const cutters = step.upstream.filter((up) => plan.steps[up]?.cuts.includes(at) && ends[up] === "success");
    const forAll = cutters.some((up) => plan.steps[up]?.cutsAll) || step.upstream.some((up) => cutForAll[up]);
    const verdict = upstream.length === 0 ? "run" : (RULES[step.rule]?.(upstream, setups) ?? "failed");
    let end: Final;
    if (cutters.length > 0 || forAll) end = "skipped";
    else if (verdict !== "run") end = verdict;
    else if (step.kind === "skip") end = "skipped";
    else if (step.kind !== "job") end = "success";
    else {
      end = "failed";
      for (let attempt = 1; attempt <= attempts(at); attempt += 1) {
        const result = outcome(at, attempt);
        if (result === "done") end = "success";
        if (result !== "error" && result !== "timeout") break;
      }
    }
    ends.push(end);
    cutForAll.push(end === "skipped" && forAll);
  }
  return ends;
};
