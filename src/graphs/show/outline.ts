/** Text outline of a plan by tasks. */
import type { Plan, Step } from "../run/plan.js";

/** A task as written in the definition, with all steps of a mapped task taken together. */
export interface OutlineTask {
  readonly id: string;
  /** Number of steps. */
  readonly steps: number;
  /** The first of them. */
  readonly step: Step;
  readonly upstream: readonly string[];
}

/** The task id of a step id: without the index of a mapped instance. */
export const taskOf = (step: string): string => step.replace(/\[\d+\]$/, "");

/** The tasks of a plan in topological order. */
export const outline = (plan: Plan): readonly OutlineTask[] => {
  const tasks = new Map<string, { steps: number; step: Step; upstream: Set<string> }>();
  for (const step of plan.steps) {
    const id = taskOf(step.id);
    const task = tasks.get(id) ?? { steps: 0, step, upstream: new Set<string>() };
    task.steps += 1;
    for (const up of step.upstream) task.upstream.add(taskOf(plan.steps[up]?.id ?? ""));
    tasks.set(id, task);
  }
  return [...tasks].map(([id, { steps, step, upstream }]) => ({ id, steps, step, upstream: [...upstream] }));
};

/** Task id with the settings that differ from the defaults. */
export const labelOf = ({ id, steps, step }: OutlineTask): string => {
  const details: string[] = [];
  if (steps > 1) details.push(`${steps} steps`);
  if (step.kind !== "job") details.push(step.kind.replace("_", " "));
  if (step.rule !== "all_success") details.push(step.rule);
  if (step.pool !== null) details.push(`pool ${step.pool}`);
  return details.length === 0 ? id : `${id} (${details.join(", ")})`;
};

/** The graph as an indented tree, with each task below its upstream tasks. A repeated task is only its id and `^`. */
export const treeOf = (plan: Plan): string => {
  const tasks = outline(plan);
  const downstream = new Map<string, OutlineTask[]>(tasks.map(({ id }) => [id, []]));
  for (const task of tasks) for (const up of task.upstream) downstream.get(up)?.push(task);
  const lines = [`${plan.dagId}: ${plan.steps.length} steps in ${tasks.length} tasks, owner ${plan.owner}`];
  const shown = new Set<string>();
  const stack = tasks
    .filter(({ upstream }) => upstream.length === 0)
    .reverse()
    .map((task) => ({ task, depth: 1 }));
  for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
    const { task, depth } = next;
    const repeated = shown.has(task.id);
    lines.push(`${"  ".repeat(depth)}${repeated ? `${task.id} ^` : labelOf(task)}`);
    if (repeated) continue;
    shown.add(task.id);
    for (const down of [...(downstream.get(task.id) ?? [])].reverse()) stack.push({ task: down, depth: depth + 1 });
  }
  return lines.join("\n");
};
