/** States of a step under Airflow's names; `none` is Airflow's null state. */
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

export const FINAL_STATES = ["success", "failed", "upstream_failed", "skipped", "removed"] as const;
export type FinalState = (typeof FINAL_STATES)[number];

const finalStates: ReadonlySet<StepState> = new Set(FINAL_STATES);
export const isFinal = (state: StepState): state is FinalState => finalStates.has(state);

/** Number of steps in each state, without states that no step is in. */
export const countsOf = (count: (state: StepState, at: number) => number): Readonly<Record<string, number>> =>
  Object.fromEntries(STATES.map((state, at) => [state, count(state, at)] as const).filter(([, steps]) => steps > 0));

/** Whether the step's job is accepted and has not ended. */
export const isOpen = (state: StepState): boolean => state === "queued" || state === "running";
