import type { Services } from "../../coordination/context.js";
import type { GraphOptions } from "../../settings/graph-options.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { DagRun } from "../run/dag-run.js";
import type { Plan } from "../run/plan.js";
import { planLimits } from "../run/retry.js";
import { loadRun, pastOf } from "./loading.js";
import type { Header } from "./records.js";

/** The part of a run's states that status queries need. */
export type RunStates = Pick<DagRun, "plan" | "stateOf" | "attemptOf" | "count">;

const KEPT = 8;
/** Queries within this time share one snapshot. Reported states may lag by up to three seconds. */
const FRESH = seconds(1.5);

interface Glimpse {
  readonly at: Micros;
  readonly round: number;
  readonly plan: Plan;
  readonly states: RunStates;
}

/** Cached snapshots of runs, computed from stored records, for a controller that does not lead their shard. */
export class Glimpses {
  private readonly kept = new Map<string, Glimpse>();
  private readonly looking = new Map<string, Promise<RunStates | null>>();

  constructor(
    private readonly services: Pick<Services, "store" | "cache" | "clock">,
    private readonly options: GraphOptions,
  ) {}

  /** Null if the state service did not answer. */
  look(id: string, header: Header): Promise<RunStates | null> {
    const known = this.kept.get(id);
    const { clock } = this.services;
    if (known !== undefined && known.round === header.round && clock.now() - known.at < FRESH) {
      return Promise.resolve(known.states);
    }
    const under = this.looking.get(id);
    if (under !== undefined) return under;
    const look = this.read(id, header, known?.plan ?? null).finally(() => this.looking.delete(id));
    this.looking.set(id, look);
    return look;
  }

  private async read(id: string, header: Header, known: Plan | null): Promise<RunStates | null> {
    const { store, cache, clock } = this.services;
    const at = clock.now();
    const loaded = await loadRun(store, id, header, known);
    if (loaded === null) return null;
    const { plan, saved, ended } = loaded;
    const states = new DagRun({
      plan,
      order: new Uint32Array(plan.steps.length),
      limits: planLimits(plan, this.options),
      frozen: saved.finals,
      clearings: saved.clearings,
      past: pastOf(id, header, ended, (key) => cache.entries.has(key)),
      // Only the shard leader knows whether an earlier run blocks a step: here the step appears as about to start.
      pastRun: () => "go",
      onRetry: () => undefined,
    });
    this.kept.delete(id);
    this.kept.set(id, { at, round: header.round, plan, states });
    const oldest = this.kept.keys().next().value;
    if (this.kept.size > KEPT && oldest !== undefined) this.kept.delete(oldest);
    return states;
  }
}
