/** The order in which steps of one run start, from Airflow's priority weights. */
import { TypedFastBitSet } from "typedfastbitset";
import { criticalPaths, downstreamOf, type Plan } from "./plan.js";

/** Sets of reachable steps take quadratic memory and time: beyond this size they block a controller for minutes. */
const MAX_EXACT_STEPS = 1_000;

/** Total weight along the heaviest path from each step, for large graphs. */
const pathWeights = (plan: Plan, order: readonly number[], next: readonly (readonly number[])[]): Float64Array => {
  const sums = new Float64Array(plan.steps.length);
  for (const at of order) {
    let heaviest = 0;
    for (const to of next[at] ?? []) heaviest = Math.max(heaviest, sums[to] ?? 0);
    sums[at] = heaviest + (plan.steps[at]?.weight ?? 0);
  }
  return sums;
};

/** Total weight of each step and all steps reachable along `next`, each counted once however many paths lead to it. */
const reachableWeights = (plan: Plan, order: readonly number[], next: readonly (readonly number[])[]): Float64Array => {
  if (plan.steps.length > MAX_EXACT_STEPS) return pathWeights(plan, order, next);
  const sums = new Float64Array(plan.steps.length);
  const sets = new Map<number, TypedFastBitSet>();
  const pendingUses = new Uint32Array(plan.steps.length);
  for (const list of next) for (const to of list) pendingUses[to] = (pendingUses[to] ?? 0) + 1;
  for (const at of order) {
    const set = new TypedFastBitSet();
    set.add(at);
    for (const to of next[at] ?? []) {
      const reached = sets.get(to);
      if (reached !== undefined) set.union(reached);
      pendingUses[to] = (pendingUses[to] ?? 1) - 1;
      // Dropped after the last step that refers to it: keeping all sets takes quadratic memory.
      if (pendingUses[to] === 0) sets.delete(to);
    }
    let sum = 0;
    set.forEach((reached) => {
      sum += plan.steps[reached]?.weight ?? 0;
    });
    sums[at] = sum;
    if ((pendingUses[at] ?? 0) > 0) sets.set(at, set);
  }
  return sums;
};

/**
 * Rank of each step in the start order of its own graph: by Airflow's priority weight, then by critical path. It orders
 * steps of one graph only, never a step against jobs outside the graph.
 */
export const startOrder = (plan: Plan): Uint32Array => {
  const { steps } = plan;
  const paths = criticalPaths(plan);
  const weights = new Float64Array(steps.length);
  const hasWeights = steps.some(({ weight, weightRule }) => weight !== 1 || weightRule !== "downstream");
  if (hasWeights) {
    const forward = steps.map((_, at) => at);
    const upstream = steps.map((step) => step.upstream);
    const rules = new Set(steps.map(({ weightRule }) => weightRule));
    const downstreamWeights = rules.has("downstream")
      ? reachableWeights(plan, [...forward].reverse(), downstreamOf(plan))
      : null;
    const upstreamWeights = rules.has("upstream") ? reachableWeights(plan, forward, upstream) : null;
    for (const [at, { weight, weightRule }] of steps.entries()) {
      weights[at] =
        (weightRule === "downstream"
          ? downstreamWeights?.[at]
          : weightRule === "upstream"
            ? upstreamWeights?.[at]
            : undefined) ?? weight;
    }
  }
  const order = steps.map((_, at) => at);
  order.sort((a, b) => (weights[b] ?? 0) - (weights[a] ?? 0) || (paths[b] ?? 0) - (paths[a] ?? 0) || a - b);
  const ranks = new Uint32Array(steps.length);
  for (const [rank, at] of order.entries()) ranks[at] = rank;
  return ranks;
};
