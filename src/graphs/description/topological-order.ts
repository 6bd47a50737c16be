/** Topological order of tasks. */
import TinyQueue from "tinyqueue";

type Upstream = ReadonlyMap<string, ReadonlySet<string>>;

/** Topological order, ties in written order; or a cycle as its path, with the first name repeated at the end. */
export const sortTasks = (
  upstream: Upstream,
):
  | { readonly kind: "order"; readonly ids: readonly string[] }
  | { readonly kind: "cycle"; readonly path: string[] } => {
  const positions = new Map([...upstream.keys()].map((id, at) => [id, at]));
  const unorderedUpstream = new Map<string, number>();
  const downstream = new Map<string, string[]>();
  for (const [id, ups] of upstream) {
    unorderedUpstream.set(id, ups.size);
    for (const up of ups) {
      const list = downstream.get(up);
      if (list === undefined) downstream.set(up, [id]);
      else list.push(id);
    }
  }
  const ready = new TinyQueue<string>(
    [...upstream.keys()].filter((id) => unorderedUpstream.get(id) === 0),
    (a, b) => (positions.get(a) ?? 0) - (positions.get(b) ?? 0),
  );
  const ids: string[] = [];
  for (let id = ready.pop(); id !== undefined; id = ready.pop()) {
    ids.push(id);
    for (const down of downstream.get(id) ?? []) {
      const rest = (unorderedUpstream.get(down) ?? 0) - 1;
      unorderedUpstream.set(down, rest);
      if (rest === 0) ready.push(down);
    }
  }
  if (ids.length === upstream.size) return { kind: "order", ids };
  return { kind: "cycle", path: cycleAmong(upstream, new Set(ids)) };
};

/** Every unordered task has an unordered upstream task, so following these leads into a cycle. */
const cycleAmong = (upstream: Upstream, ordered: ReadonlySet<string>): string[] => {
  const start = [...upstream.keys()].find((id) => !ordered.has(id));
  const seen = new Map<string, number>();
  const walk: string[] = [];
  for (let id = start; id !== undefined; ) {
    const before = seen.get(id);
    if (before !== undefined) return [...walk.slice(before), id].reverse();
    seen.set(id, walk.length);
    walk.push(id);
    id = [...(upstream.get(id) ?? [])].find((up) => !ordered.has(up));
  }
  return walk;
};
