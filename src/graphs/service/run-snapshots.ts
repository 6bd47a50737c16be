import type { Services } from "../../coordination/context.js";
import type { GraphOptions } from "../../settings/graph-options.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { DagRun } from "../run/dag-run.js";
import type { Plan } from "../run/plan.js";
import { planLimits } from "../run/retry.js";
import { loadRun, recordedAttempts } from "./loading.js";
import type { RunHeader } from "./records.js";

/** The part of a run's states that status queries need. */
export type RunStates = Pick<DagRun, "plan" | "stateOf" | "attemptOf" | "count">;

const MAX_SNAPSHOTS = 8;
/** Queries within this time share one snapshot. Reported states may lag by up to three seconds. */
const MAX_SNAPSHOT_AGE = seconds(1.5);

interface Snapshot {
  readonly takenAt: Micros;
  readonly round: number;
  readonly plan: Plan;
  readonly states: RunStates;
}

/** Cached snapshots of runs, computed from stored records, for a controller that does not lead their shard. */
export class RunSnapshots {
  private readonly snapshots = new Map<string, Snapshot>();
  private readonly pendingReads = new Map<string, Promise<RunStates | null>>();

  constructor(
    private readonly services: Pick<Services, "store" | "cache" | "clock">,
    private readonly options: GraphOptions,
  ) {}

  /** Null if the state service did not answer. */
  get(id: string, header: RunHeader): Promise<RunStates | null> {
    const cached = this.snapshots.get(id);
    const { clock } = this.services;
    if (cached !== undefined && cached.round === header.round && clock.now() - cached.takenAt < MAX_SNAPSHOT_AGE) {
      return Promise.resolve(cached.states);
    }
    const pending = this.pendingReads.get(id);
    if (pending !== undefined) return pending;
    const snapshot = this.read(id, header, cached?.plan ?? null).finally(() => this.pendingReads.delete(id));
    this.pendingReads.set(id, snapshot);
    return snapshot;
  }

  private async read(id: string, header: RunHeader, knownPlan: Plan | null): Promise<RunStates | null> {
    const { store, cache, clock } = this.services;
    const at = clock.now();
    const loaded = await loadRun(store, id, header, knownPlan);
    if (loaded === null) return null;
    const { plan, saved, outcomes } = loaded;
    const states = new DagRun({
      plan,
      order: new Uint32Array(plan.steps.length),
      limits: planLimits(plan, this.options),
      frozen: saved.finals,
      clearings: saved.clearings,
      storedAttempts: recordedAttempts(id, header, outcomes, (key) => cache.entries.has(key)),
      // Only the shard leader knows whether an earlier run blocks a step: here the step appears as about to start.
      pastRun: () => "go",
      onRetry: () => undefined,
    });
    this.snapshots.delete(id);
    this.snapshots.set(id, { takenAt: at, round: header.round, plan, states });
    const oldest = this.snapshots.keys().next().value;
    if (this.snapshots.size > MAX_SNAPSHOTS && oldest !== undefined) this.snapshots.delete(oldest);
    return states;
  }
}
