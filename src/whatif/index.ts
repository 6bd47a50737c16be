/** Replaying traces against changed policies, and comparing what comes of them. */

export { type Comparison, compare, type Variant } from "./compare.js";
export type { ReplayRequest } from "./conduct.js";
export { replayFaithfully } from "./faithful.js";
export { replayFast } from "./fast.js";
export * from "./format.js";
export { type GraphCost, graphCost } from "./graph-cost.js";
export {
  GRAPH_SHAPES,
  type GraphLoadResult,
  type GraphLoadSpec,
  type GraphShape,
  playGraphLoad,
} from "./graph-load.js";
export { Ledger } from "./ledger.js";
export { type ControllerSize, type LoadResult, type LoadSpec, playLoad } from "./load.js";
export { type Agreement, agreement, type LoopbackRequest, playOnLoopback } from "./on-loopback.js";
export type { DelayCause, JobOutcome, Outcome, ServedGroup } from "./outcome.js";
export { addLoad, applySettings, parseSetting, type Scenario, type Setting } from "./overrides.js";
export type { Unmatched } from "./player.js";
export { replayAll } from "./pool.js";
export { Recording } from "./recording.js";
export { prepare, readChecked, readJsonFile, readScenario, replay, type ScenarioSpec } from "./scenario.js";
export { cellsOf, ResultLog, readSweep, rowsOf, type SweepRow, type SweepSpec, sweep } from "./sweep.js";
export { readSynthSpec, type SynthSpec, synthesize } from "./synth.js";
export { formatTrace, mend, parseTrace, type Remark, readTrace, type Trace, TraceError, writeTrace } from "./trace.js";

/** Plots and pages: loaded only where one is asked for. */
export const loadReport = (): Promise<typeof import("./report.js")> => import("./report.js");
export const loadPlots = (): Promise<typeof import("./plots.js")> => import("./plots.js");
export { convert } from "./convert.js";
export { FileRecorder, type RecorderFiles } from "./file-recorder.js";
export { SiteObserver } from "./observe.js";
export { schemaOf } from "./schemas.js";
export { headerOf, siteOf, traceEventOf } from "./translate.js";
