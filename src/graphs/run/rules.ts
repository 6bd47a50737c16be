/** Airflow's trigger rules. */
export const TRIGGER_RULES = [
  "all_success",
  "all_failed",
  "all_done",
  "all_done_min_one_success",
  "all_done_setup_success",
  "all_skipped",
  "one_success",
  "one_failed",
  "one_done",
  "none_failed",
  "none_failed_min_one_success",
  "none_skipped",
  "always",
] as const;
export type TriggerRule = (typeof TRIGGER_RULES)[number];

/** Number of direct upstream steps in all, and by final state. */
export interface UpstreamCounts {
  readonly total: number;
  readonly success: number;
  readonly failed: number;
  readonly upstreamFailed: number;
  readonly skipped: number;
  readonly removed: number;
  /** Upstream steps that are setup tasks. */
  readonly setups: number;
  readonly setupSuccess: number;
  readonly setupSkipped: number;
}

/** Result of a trigger rule: wait for more upstream steps, run the step, or end it in that state. */
export type Verdict = "wait" | "run" | "skipped" | "upstream_failed";

/**
 * Evaluates a trigger rule as soon as the upstream steps that are still open can't change the result. Airflow evaluates
 * it on the states at that moment: with one upstream step skipped and another about to fail, the result of
 * `all_success` depends on which ends first. Here it is a function of the final states only, so a new shard leader
 * comes to the same result.
 */
export const evaluateRule = (rule: TriggerRule, counts: UpstreamCounts): Verdict => {
  const { total, success, skipped, removed } = counts;
  const failed = counts.failed + counts.upstreamFailed;
  if (total === 0) return "run";
  const done = success + failed + skipped + removed >= total;
  const onceDone = (verdict: Verdict): Verdict => (done ? verdict : "wait");
  switch (rule) {
    case "always":
      return "run";
    case "all_success":
      return failed > 0 ? "upstream_failed" : onceDone(skipped > 0 ? "skipped" : "run");
    case "all_failed":
      return success + skipped > 0 ? "skipped" : onceDone("run");
    case "all_done":
      return onceDone("run");
    case "all_done_min_one_success":
      return onceDone(success > 0 ? "run" : skipped >= total ? "skipped" : "upstream_failed");
    case "all_done_setup_success":
      if (counts.setups === 0 || counts.setupSuccess > 0) return onceDone("run");
      return onceDone(counts.setupSkipped >= counts.setups ? "skipped" : "upstream_failed");
    case "all_skipped":
      return success + failed > 0 ? "skipped" : onceDone("run");
    case "one_success":
      return success > 0 ? "run" : onceDone(skipped >= total ? "skipped" : "upstream_failed");
    case "one_failed":
      return failed > 0 ? "run" : onceDone("skipped");
    case "one_done":
      return success + counts.failed > 0 ? "run" : onceDone("skipped");
    case "none_failed":
      return failed > 0 ? "upstream_failed" : onceDone("run");
    case "none_failed_min_one_success":
      return failed > 0 ? "upstream_failed" : onceDone(skipped >= total ? "skipped" : "run");
    case "none_skipped":
      return skipped > 0 ? "skipped" : onceDone("run");
  }
};
