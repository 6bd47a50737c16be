/** Draws a plan with Graphviz. */
import type { Plan } from "../run/plan.js";
import { labelOf, outline } from "./outline.js";

/** Larger graphs are unreadable as a drawing and take minutes to lay out. */
export const MAX_DRAWN_TASKS = 1_500;

const SHAPES: Readonly<Record<string, string>> = {
  job: "box",
  skip: "box",
  empty: "point",
  short_circuit: "diamond",
  branch: "diamond",
};

/** A quoted DOT string. Quotes and backslashes are escaped: they would end it. */
const quoted = (text: string): string => `"${text.replaceAll("\\", "\\\\").replaceAll('"', '\\"')}"`;

/** The plan in Graphviz's DOT language. Each group is a cluster; a task's group is its id up to the last dot. */
const dotOf = (plan: Plan): string => {
  const tasks = outline(plan);
  const lines = [`digraph ${quoted(plan.dagId)} {`, 'rankdir="LR"; node [fontname="Helvetica", fontsize="11"];'];
  const groups = new Map<string, string[]>();
  for (const task of tasks) {
    const dot = task.id.lastIndexOf(".");
    const group = dot < 0 ? "" : task.id.slice(0, dot);
    const line = `${quoted(task.id)} [label=${quoted(labelOf(task))}, shape=${SHAPES[task.step.kind] ?? "box"}];`;
    groups.set(group, [...(groups.get(group) ?? []), line]);
  }
  for (const [group, members] of groups) {
    if (group === "") lines.push(...members);
    else lines.push(`subgraph ${quoted(`cluster_${group}`)} { label=${quoted(group)};`, ...members, "}");
  }
  for (const { id, upstream } of tasks) for (const up of upstream) lines.push(`${quoted(up)} -> ${quoted(id)};`);
  return [...lines, "}"].join("\n");
};

/** The plan as SVG. */
export const drawingOf = async (plan: Plan): Promise<string> => {
  const { Graphviz } = await import("@hpcc-js/wasm-graphviz");
  return (await Graphviz.load()).dot(dotOf(plan), "svg");
};
