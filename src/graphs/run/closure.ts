import { downstreamOf, type Plan } from "./plan.js";

/** The given steps and, with `downstream`, all their direct and indirect downstream steps. */
export const closure = (plan: Plan, steps: readonly number[], downstream: boolean): ReadonlySet<number> => {
  const found = new Set(steps);
  if (!downstream) return found;
  const downstreamLists = downstreamOf(plan);
  const stack = [...steps];
  for (let at = stack.pop(); at !== undefined; at = stack.pop()) {
    for (const down of downstreamLists[at] ?? []) {
      if (found.has(down)) continue;
      found.add(down);
      stack.push(down);
    }
  }
  return found;
};
