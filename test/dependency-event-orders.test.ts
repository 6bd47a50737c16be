import assert from "node:assert/strict";
import { test } from "node:test";
import { DependencyGraph, type TerminalPhase } from "../src/cluster/dependency-graph.js";

/**
 * Explores all orders of events for three jobs, of which the second depends on the first and the third on both:
 * dependency checks, acceptances applied later, cancellations, failovers, and starts and outcomes decided by a leader
 * with a stale view. Guards against a job that starts before its dependencies are done, and against a controller that reports a state that
 * contradicts an earlier report. A deeper run, started by hand: RAINRIDGE_DEPTH=12.
 */
const DEPTH = Number(process.env.RAINRIDGE_DEPTH ?? 8);

const AWAITS: Readonly<Record<string, readonly string[]>> = { a: [], b: ["a"], c: ["a", "b"] };
const JOBS = Object.keys(AWAITS);

type Records = Readonly<Record<string, { readonly cancelled: boolean; readonly version: number }>>;
type Ends = Readonly<Record<string, TerminalPhase>>;

interface Moment {
  readonly current: Records;
  readonly ended: Ends;
  readonly version: number;
  /** Jobs whose dependencies were checked: whether a dependency was cancelled at that time. */
  readonly checked: Readonly<Record<string, boolean>>;
  /** The job records and the outcomes that the leader has read. */
  readonly seen: Records;
  readonly learnt: Ends;
  readonly begun: readonly string[];
  readonly told: Readonly<Record<string, string>>;
}

const BEGIN: Moment = {
  current: { a: { cancelled: false, version: 1 } },
  ended: {},
  version: 1,
  checked: {},
  seen: {},
  learnt: {},
  begun: [],
  told: {},
};

/** The dependency graph of a controller that has read these records and outcomes. */
const chainsOf = (current: Records, ends: Ends): DependencyGraph => {
  const dependencies = new DependencyGraph();
  for (const [id, { cancelled }] of Object.entries(current)) dependencies.upsert(id, AWAITS[id] ?? [], cancelled);
  for (const [id, end] of Object.entries(ends)) if (!(id in current)) dependencies.recordTerminalPhase(id, end);
  return dependencies;
};

interface Functions {
  readonly mayBegin: (dependencies: DependencyGraph, id: string) => boolean;
  /** Whether outcomes are looked up before a state is reported. */
  readonly settles: boolean;
}

const REAL: Functions = { mayBegin: (dependencies, id) => dependencies.isReady(id), settles: true };

/** The state that any controller reports, from all current records and the outcomes that they depend on. */
const tell = (f: Functions, m: Moment, id: string): string => {
  const end = m.ended[id];
  if (end !== undefined) return end;
  const record = m.current[id];
  if (record === undefined) return "unknown";
  const dependencies = chainsOf(m.current, {});
  if (f.settles) {
    for (let open = dependencies.unresolvedFor(id); open.length > 0; open = dependencies.unresolvedFor(id)) {
      for (const other of open) dependencies.recordTerminalPhase(other, m.ended[other] ?? "done");
    }
  }
  return dependencies.isCancelled(id) ? "cancelled" : "open";
};

const steps = (f: Functions, m: Moment): readonly (readonly [string, Moment])[] => {
  const found: [string, Moment][] = [];
  const write = (change: Partial<Moment>): Moment => ({ ...m, version: m.version + 1, ...change });
  const leader = chainsOf(m.seen, m.learnt);
  const without = (id: string): Records => {
    const { [id]: _, ...rest } = m.current;
    return rest;
  };
  for (const id of JOBS) {
    const awaits = AWAITS[id] ?? [];
    const record = m.current[id];
    const known = (other: string): boolean => other in m.current || other in m.ended;
    if (!known(id) && !(id in m.checked) && awaits.every(known)) {
      const withdrawn = awaits.some((other) => m.ended[other] === "cancelled");
      found.push([`check ${id}`, { ...m, checked: { ...m.checked, [id]: withdrawn } }]);
    }
    if (id in m.checked && !known(id)) {
      const entry = { cancelled: m.checked[id] === true, version: m.version + 1 };
      found.push([`accept ${id}`, write({ current: { ...m.current, [id]: entry } })]);
    }
    if (record !== undefined && !record.cancelled) {
      const entry = { cancelled: true, version: m.version + 1 };
      found.push([`cancel ${id}`, write({ current: { ...m.current, [id]: entry } })]);
    }
    const seen = m.seen[id];
    if (seen !== undefined && !m.begun.includes(id) && !seen.cancelled && !leader.isCancelled(id)) {
      if (f.mayBegin(leader, id)) found.push([`begin ${id}`, { ...m, begun: [...m.begun, id] }]);
    }
    // Both outcomes are written on condition that the record still has the version that the leader has read.
    if (record !== undefined && record.version === seen?.version) {
      const called = seen.cancelled || leader.isCancelled(id);
      const end: TerminalPhase | null = called ? "cancelled" : m.begun.includes(id) ? "done" : null;
      if (end !== null) {
        const learnt = { ...m.learnt, [id]: end };
        found.push([`end ${id}`, write({ current: without(id), ended: { ...m.ended, [id]: end }, learnt })]);
      }
    }
  }
  found.push(["read", { ...m, seen: m.current }]);
  const questions = leader.unresolved().filter((id) => id in m.ended);
  for (const id of questions) {
    found.push([`look up ${id}`, { ...m, learnt: { ...m.learnt, [id]: m.ended[id] as TerminalPhase } }]);
  }
  found.push(["takeover", { ...m, seen: m.current, learnt: {} }]);
  return found;
};

const wrong = (f: Functions, m: Moment): string | null => {
  for (const id of m.begun) {
    for (const other of AWAITS[id] ?? [])
      if (m.ended[other] !== "done") return `${id} started before ${other} was done`;
  }
  for (const id of JOBS) {
    const now = tell(f, m, id);
    const before = m.told[id];
    if ((before === "cancelled" || before === "done") && now !== before) return `${id}: ${before}, then ${now}`;
    if (before === "open" && now === "unknown") return `${id}: reported as open, then as unknown`;
    const needed = (AWAITS[id] ?? []).some((other) => tell(f, m, other) === "cancelled");
    if (needed && now !== "cancelled" && now !== "unknown") return `${id} is ${now} although a dependency is cancelled`;
  }
  return null;
};

const explore = (f: Functions): { readonly found: string | null; readonly orders: number } => {
  const known = new Map<string, number>();
  let orders = 0;
  const walk = (m: Moment, path: readonly string[]): string | null => {
    orders += 1;
    const bad = wrong(f, m);
    if (bad !== null) return `${path.join(", ")}: ${bad}`;
    if (path.length >= DEPTH) return null;
    const told = Object.fromEntries(JOBS.map((id) => [id, tell(f, m, id)]));
    const here: Moment = { ...m, told };
    const key = JSON.stringify({ ...here, version: 0 });
    const left = DEPTH - path.length;
    if ((known.get(key) ?? 0) >= left) return null;
    known.set(key, left);
    for (const [name, next] of steps(f, here)) {
      const result = walk(next, [...path, name]);
      if (result !== null) return result;
    }
    return null;
  };
  return { found: walk(BEGIN, []), orders };
};

test("in any order of events, no job starts before its dependencies and no report contradicts an earlier one", () => {
  const { found, orders } = explore(REAL);
  assert.equal(found, null);
  assert.ok(orders > 1_000, `${orders} orders`);
});

test("the exploration detects a leader that takes a missing job for done, and reports made without outcome lookups", () => {
  const gone: Functions = {
    ...REAL,
    mayBegin: (dependencies, id) => dependencies.dependenciesOf(id).every((other) => !known(dependencies, other)),
  };
  assert.match(explore(gone).found ?? "", /started before/);
  assert.match(explore({ ...REAL, settles: false }).found ?? "", /cancelled/);
});

/** Whether the job is current or its outcome is known to the graph. */
const known = (dependencies: DependencyGraph, id: string): boolean => !dependencies.unresolved().includes(id);
