/** Airflow-style graphs of dependent steps: the only module of this package that others import. */
export type {
  GraphDocument,
  PlacedProblem,
  Problem,
  RunContext,
} from "./description/index.js";
export { DagRun, firstAttempt, NO_PAST, type Outcome, type Past } from "./run/dag-run.js";
export { DEFAULT_STEP, decodePlan, downstreamOf, encodePlan, type Plan, type Step } from "./run/plan.js";
export { type Limits, limitsOf, planLimits } from "./run/retry.js";
export { TRIGGER_RULES, type TriggerRule } from "./run/rules.js";
export { distinctJobs } from "./run/spec.js";
export { FINALS, type FinalState, isFinal } from "./run/states.js";
export { ownOrder } from "./run/weights.js";
export { describing } from "./service/describing.js";
export { graphsWith } from "./service/extension.js";
export {
  type Ended,
  endedKey,
  graphKey,
  graphOfKey,
  type Header,
  isRunId,
  jobIdOf,
  lastRunKey,
  partKey,
  partPrefix,
  partsOfJobId,
  planKey,
  readEnded,
  readHeader,
  readSegment,
  readSegments,
  readUpload,
  type Segment,
  segmentKey,
  segmentPrefix,
  summaryKey,
  type Upload,
  uploadKey,
  uploadOfKey,
  writeEnded,
  writeHeader,
  writeSegment,
  writeSegments,
  writeUpload,
} from "./service/records.js";
export { drawingOf, MOST_DRAWN } from "./show/drawing.js";
export { outline, treeOf } from "./show/outline.js";
