/** Resolves task groups and defaults into a flat list of tasks with their direct upstream tasks. */
import { type Edge, readDependencies } from "./dependencies.js";
import type { GraphDocument, GroupDocument, TaskArgs, TaskDocument } from "./document.js";
import type { Path, Problem } from "./problem.js";

/** A task with its full id, `group.task`, and with all defaults applied. */
export interface FlatTask {
  readonly id: string;
  readonly path: Path;
  readonly document: TaskDocument;
  readonly args: TaskArgs;
}

export interface FlatGraph {
  readonly tasks: ReadonlyMap<string, FlatTask>;
  /** Ids of the direct upstream tasks of each task. */
  readonly upstream: ReadonlyMap<string, ReadonlySet<string>>;
}

/** An edge as written: names are not resolved yet. `group` is where it is written; "" at the top level. */
interface Dependency {
  readonly edge: Edge;
  readonly group: string;
  readonly path: Path;
}

/** `members` includes the tasks of inner groups. */
interface Group {
  readonly members: readonly string[];
  readonly depth: number;
}

const merge = (outer: TaskArgs, inner: TaskArgs): TaskArgs => ({
  ...outer,
  ...inner,
  job: { ...outer.job, ...inner.job },
});

const argsOf = (task: TaskDocument): TaskArgs => {
  const { task_id, upstream, empty, short_circuit, branch, expand, setup, ignore_downstream_trigger_rules, ...args } =
    task;
  return args;
};

const MAX_GROUP_DEPTH = 20;
const MAX_ID_LENGTH = 200;

/** Resolves groups and defaults. Appends problems to `problems`; stops collecting tasks above `mostTasks`. */
export const flatten = (graph: GraphDocument, problems: Problem[], mostTasks: number): FlatGraph => {
  const tasks = new Map<string, FlatTask>();
  const groups = new Map<string, Group>();
  const unresolved: Dependency[] = [];
  const pathsById = new Map<string, Path>();
  const claimId = (id: string, path: Path): boolean => {
    const before = pathsById.get(id);
    if (before === undefined) pathsById.set(id, path);
    else problems.push({ path, message: `${id} is there already` });
    return before === undefined;
  };
  const walk = (
    level: GroupDocument | GraphDocument,
    group: string,
    path: Path,
    outer: TaskArgs,
  ): readonly string[] => {
    const args = merge(outer, level.default_args ?? {});
    const members: string[] = [];
    const prefix = group === "" ? "" : `${group}.`;
    if (path.length > 2 * MAX_GROUP_DEPTH) {
      problems.push({ path, message: `groups more than ${MAX_GROUP_DEPTH} deep` });
      return members;
    }
    for (const [at, document] of level.tasks.entries()) {
      if (tasks.size > mostTasks) break;
      const id = `${prefix}${document.task_id}`;
      const here = [...path, "tasks", at];
      if (id.length > MAX_ID_LENGTH)
        problems.push({ path: [...here, "task_id"], message: `longer than ${MAX_ID_LENGTH}, groups included` });
      if (!claimId(id, [...here, "task_id"])) continue;
      tasks.set(id, { id, path: here, document, args: merge(args, argsOf(document)) });
      members.push(id);
      for (const [index, from] of (document.upstream ?? []).entries()) {
        unresolved.push({ edge: { from, to: id }, group, path: [...here, "upstream", index] });
      }
    }
    for (const [at, inner] of (level.task_groups ?? []).entries()) {
      const id = `${prefix}${inner.group_id}`;
      const here = [...path, "task_groups", at];
      if (!claimId(id, [...here, "group_id"])) continue;
      const inside = walk(inner, id, here, args);
      groups.set(id, { members: inside, depth: here.length });
      members.push(...inside);
      for (const [index, from] of (inner.upstream ?? []).entries()) {
        unresolved.push({ edge: { from, to: id }, group, path: [...here, "upstream", index] });
      }
    }
    for (const [at, text] of (level.dependencies ?? []).entries()) {
      const here = [...path, "dependencies", at];
      const edges = readDependencies(text);
      if (typeof edges === "string") problems.push({ path: here, message: edges });
      else for (const edge of edges) unresolved.push({ edge, group, path: here });
    }
    return members;
  };
  walk(graph, "", [], {});
  return { tasks, upstream: resolveDependencies(tasks, groups, unresolved, problems) };
};

/** Looks a name up in the group where it is used, then in the enclosing groups. Null: unknown. */
const resolveName = (name: string, group: string, known: (id: string) => boolean): string | null => {
  for (let scope = group; scope !== ""; scope = scope.slice(0, Math.max(0, scope.lastIndexOf(".")))) {
    if (known(`${scope}.${name}`)) return `${scope}.${name}`;
  }
  return known(name) ? name : null;
};

const resolveDependencies = (
  tasks: ReadonlyMap<string, FlatTask>,
  groups: ReadonlyMap<string, Group>,
  unresolved: readonly Dependency[],
  problems: Problem[],
): ReadonlyMap<string, ReadonlySet<string>> => {
  const upstream = new Map<string, Set<string>>([...tasks.keys()].map((id) => [id, new Set<string>()]));
  const downstream = new Map<string, Set<string>>([...tasks.keys()].map((id) => [id, new Set<string>()]));
  const known = (id: string): boolean => tasks.has(id) || groups.has(id);
  const resolved: { from: string; to: string; depth: number; path: Path }[] = [];
  for (const { edge, group, path } of unresolved) {
    const from = resolveName(edge.from, group, known);
    const to = resolveName(edge.to, group, known);
    if (from === null) problems.push({ path, message: `no task or group ${edge.from}` });
    if (to === null) problems.push({ path, message: `no task or group ${edge.to}` });
    if (from === null || to === null) continue;
    const depth = Math.min(groups.get(from)?.depth ?? 1_000, groups.get(to)?.depth ?? 1_000);
    resolved.push({ from, to, depth, path });
  }
  // Edges within a group decide which of its tasks are first and last, so the innermost edges are resolved first.
  resolved.sort((a, b) => b.depth - a.depth);
  const boundaryTasks = (id: string, lists: ReadonlyMap<string, ReadonlySet<string>>): readonly string[] => {
    const group = groups.get(id);
    if (group === undefined) return [id];
    const inside = new Set(group.members);
    return group.members.filter((member) => {
      for (const other of lists.get(member) ?? []) if (inside.has(other)) return false;
      return true;
    });
  };
  for (const { from, to, path } of resolved) {
    if (from === to) problems.push({ path, message: `${from} depends on itself` });
    else {
      for (const a of boundaryTasks(from, downstream)) {
        for (const b of boundaryTasks(to, upstream)) {
          upstream.get(b)?.add(a);
          downstream.get(a)?.add(b);
        }
      }
    }
  }
  return upstream;
};
