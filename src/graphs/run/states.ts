/** Airflow's names of a step's states; `none` is what Airflow writes as no state at all. */
export const STATES = [
  "none",
  "scheduled",
  "queued",
  "running",
  "up_for_retry",
  "success",
  "failed",
  "upstream_failed",
  "skipped",
  "removed",
] as const;
export type StepState = (typeof STATES)[number];

export const FINALS = ["success", "failed", "upstream_failed", "skipped", "removed"] as const;
export type FinalState = (typeof FINALS)[number];

const finals: ReadonlySet<StepState> = new Set(FINALS);
export const isFinal = (state: StepState): state is FinalState => finals.has(state);

/** Its job is accepted and has not ended. */
export const isOpen = (state: StepState): boolean => state === "queued" || state === "running";
