import type { KeyValueStore } from "../../storage/key-value-store.js";
import type { DagRun, PastRun } from "../run/dag-run.js";
import type { Plan } from "../run/plan.js";
import type { StepState } from "../run/states.js";
import { loadPlan, loadSaved } from "./loading.js";
import { endedKey, type Header, readEnded, readSegments } from "./records.js";

const REMEMBERED = 64;

/** Decides for steps with `depends_on_past` by the states of the DAG's previous run. */
export class PastRuns {
  private readonly ended = new Map<string, ReadonlyMap<string, StepState>>();

  constructor(
    private readonly store: KeyValueStore,
    private readonly live: (run: string) => DagRun | null,
    /** Whether the run's header exists, so that its states are not final yet. */
    private readonly isCurrent: (run: string) => boolean,
  ) {}

  forget(run: string): void {
    this.ended.delete(run);
  }

  /** Loads the previous run's final states for `said` if it has ended; false if the state service did not answer. */
  async prepare(plan: Plan, { before }: Header): Promise<boolean> {
    if (before === null || !plan.steps.some(({ dependsOnPast }) => dependsOnPast)) return true;
    if (this.ended.has(before) || this.isCurrent(before)) return true;
    const reply = await this.store.get(endedKey(before));
    if (reply.kind === "missing") {
      this.remember(before, new Map());
      return true;
    }
    if (reply.kind !== "ok") return false;
    const { header, states } = readEnded(reply.value.value);
    const earlier = await loadPlan(this.store, before, header);
    const saved =
      states === null ? await loadSaved(this.store, before, header) : readSegments(header.segment, [states]);
    if (earlier === null || saved === null) return false;
    this.remember(before, new Map([...saved.finals].map(([at, state]) => [earlier.steps[at]?.id ?? "", state])));
    return true;
  }

  private remember(run: string, states: ReadonlyMap<string, StepState>): void {
    this.ended.set(run, states);
    const oldest = this.ended.keys().next().value;
    if (this.ended.size > REMEMBERED && oldest !== undefined) this.ended.delete(oldest);
  }

  /**
   * As in Airflow: the step of the same name in the previous run must have succeeded or been skipped; a step that the
   * previous run does not have blocks nothing.
   */
  said({ before }: Header, step: string): PastRun {
    if (before === null) return "go";
    const states = this.ended.get(before);
    if (states !== undefined) {
      const state = states.get(step);
      return state === undefined || state === "success" || state === "skipped" ? "go" : "never";
    }
    const run = this.live(before);
    if (run === null) return "wait";
    const at = run.plan.steps.findIndex(({ id }) => id === step);
    const state = at < 0 ? "success" : run.stateOf(at);
    if (state === "success" || state === "skipped") return "go";
    // While the previous run is active, a failed step may still be cleared; its states are final once the run ends.
    return "wait";
  }
}
