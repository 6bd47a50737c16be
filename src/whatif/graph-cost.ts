import {
  DagRun,
  decodePlan,
  encodePlan,
  loadDescription,
  NO_STORED_ATTEMPTS,
  type Plan,
  planLimits,
  startOrder,
} from "../graphs/index.js";
import { type GraphLoadSpec, graphFor, LOAD_OPTIONS } from "./graph-load.js";

/** What a shape costs a controller, measured in this process without any service around it. */
export interface GraphCost {
  readonly steps: number;
  readonly graphs: number;
  /** Reading, checking and compiling one definition. */
  readonly compileUs: number;
  /** Of a plan on record. */
  readonly planBytes: number;
  /** Of all runs together, held by a controller; null without `--expose-gc`. */
  readonly heapBytes: number | null;
  /** Processor time of a step's whole way through a run. */
  readonly stepUs: number;
  readonly looksPerStep: number;
}

const heap = (): number | null => {
  if (globalThis.gc === undefined) return null;
  globalThis.gc();
  return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
};

const timed = <T>(run: () => T): readonly [T, number] => {
  const begun = performance.now();
  const result = run();
  return [result, Math.round((performance.now() - begun) * 1_000)];
};

const runOf = (plan: Plan): DagRun =>
  new DagRun({
    plan,
    order: startOrder(plan),
    limits: planLimits(plan, LOAD_OPTIONS),
    frozen: new Map(),
    clearings: new Map(),
    storedAttempts: NO_STORED_ATTEMPTS,
    pastRun: () => "go",
    onRetry: () => undefined,
  });

const playThrough = (run: DagRun): void => {
  while (run.result === null) {
    const at = run.takeNext(() => true);
    if (at === null) throw new Error("nothing to take");
    run.submitted(at, 1);
    run.ended(at, 1, "done");
  }
};

export const graphCost = async (spec: GraphLoadSpec): Promise<GraphCost> => {
  const { compile, readDocument } = await loadDescription();
  const [plan, compileUs] = timed(() =>
    compile(readDocument(graphFor(spec)), { id: "dr-0", ds: "2026-01-01", params: {} }, LOAD_OPTIONS),
  );
  const { text } = encodePlan(plan);
  const before = heap();
  // As a controller has them: each from its own record.
  const runs = Array.from({ length: spec.graphs }, () => runOf(decodePlan(text)));
  const after = heap();
  const [, playUs] = timed(() => {
    for (const run of runs) playThrough(run);
  });
  const steps = spec.graphs * plan.steps.length;
  return {
    steps: plan.steps.length,
    graphs: spec.graphs,
    compileUs,
    planBytes: text.length,
    heapBytes: before === null || after === null ? null : after - before,
    stepUs: playUs / steps,
    looksPerStep: runs.reduce((sum, run) => sum + run.visitedSteps, 0) / steps,
  };
};
