/** Airflow-style graphs of dependent steps: the only module of this package that others import. */
export type {
  GraphDocument,
  PlacedProblem,
  Problem,
  RunContext,
} from "./description/index.js";
export { DagRun, firstAttempt, NO_STORED_ATTEMPTS, type Outcome, type StoredAttempts } from "./run/dag-run.js";
export { distinctJobs } from "./run/job-specs.js";
export { DEFAULT_STEP, decodePlan, downstreamOf, encodePlan, type Plan, type Step } from "./run/plan.js";
export { type Limits, limitsOf, planLimits } from "./run/retry.js";
export { TRIGGER_RULES, type TriggerRule } from "./run/rules.js";
export { FINAL_STATES, type FinalState, isFinal } from "./run/states.js";
export { startOrder } from "./run/weights.js";
export { graphExtension } from "./service/extension.js";
export { loadDescription } from "./service/load-description.js";
export {
  type EndedRun,
  endedKey,
  graphKey,
  isRunId,
  jobIdOf,
  lastRunKey,
  parseStepJobId,
  partKey,
  partPrefix,
  planKey,
  type RunHeader,
  readEnded,
  readHeader,
  readSegment,
  readSegments,
  readUpload,
  runIdOfKey,
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
export { drawingOf, MAX_DRAWN_TASKS } from "./show/drawing.js";
export { outline, treeOf } from "./show/outline.js";
