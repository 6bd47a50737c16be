import type { KeyValueStore } from "../../storage/key-value-store.js";
import type { DagRun, PastRunPermission } from "../run/dag-run.js";
import type { Plan } from "../run/plan.js";
import type { StepState } from "../run/states.js";
import { loadPlan, loadSavedStates } from "./loading.js";
import { endedKey, type RunHeader, readEnded, readSegments } from "./records.js";

const MAX_CACHED_RUNS = 64;

/** Decides by the states of the DAG's previous run whether a step with `depends_on_past` may start. */
export class PreviousRuns {
  private readonly finalStates = new Map<string, ReadonlyMap<string, StepState>>();

  constructor(
    private readonly store: KeyValueStore,
    private readonly activeRun: (run: string) => DagRun | null,
    /** Whether the run's header exists, so that its states are not final yet. */
    private readonly isActive: (run: string) => boolean,
  ) {}

  forget(run: string): void {
    this.finalStates.delete(run);
  }

  /** Loads the previous run's final states for `decide` if it has ended; false if the state service did not answer. */
  async prepare(plan: Plan, { before }: RunHeader): Promise<boolean> {
    if (before === null || !plan.steps.some(({ dependsOnPast }) => dependsOnPast)) return true;
    if (this.finalStates.has(before) || this.isActive(before)) return true;
    const reply = await this.store.get(endedKey(before));
    if (reply.kind === "missing") {
      this.cacheStates(before, new Map());
      return true;
    }
    if (reply.kind !== "ok") return false;
    const { header, states } = readEnded(reply.value.value);
    const previousPlan = await loadPlan(this.store, before, header);
    const saved =
      states === null ? await loadSavedStates(this.store, before, header) : readSegments(header.segment, [states]);
    if (previousPlan === null || saved === null) return false;
    this.cacheStates(
      before,
      new Map([...saved.finals].map(([at, state]) => [previousPlan.steps[at]?.id ?? "", state])),
    );
    return true;
  }

  private cacheStates(run: string, states: ReadonlyMap<string, StepState>): void {
    this.finalStates.set(run, states);
    const oldest = this.finalStates.keys().next().value;
    if (this.finalStates.size > MAX_CACHED_RUNS && oldest !== undefined) this.finalStates.delete(oldest);
  }

  /**
   * As in Airflow: the step of the same name in the previous run must have succeeded or been skipped; a step that the
   * previous run does not have blocks nothing.
   */
  decide({ before }: RunHeader, step: string): PastRunPermission {
    if (before === null) return "go";
    const states = this.finalStates.get(before);
    if (states !== undefined) {
      const state = states.get(step);
      return state === undefined || state === "success" || state === "skipped" ? "go" : "never";
    }
    const run = this.activeRun(before);
    if (run === null) return "wait";
    const at = run.plan.steps.findIndex(({ id }) => id === step);
    const state = at < 0 ? "success" : run.stateOf(at);
    if (state === "success" || state === "skipped") return "go";
    // While the previous run is active, a failed step may still be cleared; its states are final once the run ends.
    return "wait";
  }
}
