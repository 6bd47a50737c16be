import { downstreamOf, type Plan } from "./plan.js";

/** The given steps and, with `downstream`, all their direct and indirect downstream steps. */
export const closure = (plan: Plan, steps: readonly number[], downstream: boolean): ReadonlySet<number> => {
  const found = new Set(steps);
  if (!downstream) return found;
  const below = downstreamOf(plan);
  const work = [...steps];
  for (let at = work.pop(); at !== undefined; at = work.pop()) {
    for (const down of below[at] ?? []) {
      if (found.has(down)) continue;
      found.add(down);
      work.push(down);
    }
  }
  return found;
};
