/** Airflow-style graphs of dependent steps: the package's only door. */
export type {
  GraphDocument,
  PlacedProblem,
  Problem,
  RunWords,
} from "./description/index.js";
export { DagRun, firstAttempt, NO_PAST, type Outcome, type Past } from "./run/dag-run.js";
export { decodePlan, encodePlan, type Plan, type Step } from "./run/plan.js";
export { type Limits, limitsOf, planLimits } from "./run/retry.js";
export { TRIGGER_RULES, type TriggerRule } from "./run/rules.js";
export { specOf } from "./run/spec.js";
export { FINALS, type FinalState, isFinal, STATES, type StepState } from "./run/states.js";
export { downstreamOf, ownOrder } from "./run/weights.js";
export { describing } from "./service/describing.js";
export { graphsWith } from "./service/extension.js";
export { graphKey, isRunId, jobIdOf, jobPrefix, partsOfJobId } from "./service/records.js";
export { drawingOf, MOST_DRAWN } from "./show/drawing.js";
export { outline, treeOf } from "./show/outline.js";
