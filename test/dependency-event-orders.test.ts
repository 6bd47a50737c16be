import assert from "node:assert/strict";
import { test } from "node:test";
import { DependencyGraph, type TerminalPhase } from "../src/cluster/dependency-graph.js";

/**
 * Explores all orders of events for three jobs, of which the second depends on the first and the third on both:
 * dependency checks, acceptances applied later, cancellations, failovers, and starts and outcomes decided by a leader
 * with a stale view. Guards against a job that starts before its dependencies are done, and against a controller that
 * reports a state that contradicts an earlier report. A deeper run, started by hand: RAINRIDGE_DEPTH=12.
 */
const DEPTH = Number(process.env.RAINRIDGE_DEPTH ?? 8);

const DEPENDENCIES: Readonly<Record<string, readonly string[]>> = { a: [], b: ["a"], c: ["a", "b"] };
const JOBS = Object.keys(DEPENDENCIES);

type Records = Readonly<Record<string, { readonly cancelled: boolean; readonly version: number }>>;
type Outcomes = Readonly<Record<string, TerminalPhase>>;

interface ClusterModel {
  readonly current: Records;
  readonly outcomes: Outcomes;
  readonly version: number;
  /** Jobs whose dependencies were checked: whether a dependency was cancelled at that time. */
  readonly checked: Readonly<Record<string, boolean>>;
  /** The job records and the outcomes that the leader has read. */
  readonly recordsRead: Records;
  readonly outcomesRead: Outcomes;
  readonly started: readonly string[];
  readonly reported: Readonly<Record<string, string>>;
}

const INITIAL: ClusterModel = {
  current: { a: { cancelled: false, version: 1 } },
  outcomes: {},
  version: 1,
  checked: {},
  recordsRead: {},
  outcomesRead: {},
  started: [],
  reported: {},
};

/** The dependency graph of a controller that has read these records and outcomes. */
const dependencyGraphOf = (current: Records, outcomes: Outcomes): DependencyGraph => {
  const dependencies = new DependencyGraph();
  for (const [id, { cancelled }] of Object.entries(current)) dependencies.upsert(id, DEPENDENCIES[id] ?? [], cancelled);
  for (const [id, outcome] of Object.entries(outcomes))
    if (!(id in current)) dependencies.recordTerminalPhase(id, outcome);
  return dependencies;
};

interface LeaderFunctions {
  readonly mayStart: (dependencies: DependencyGraph, id: string) => boolean;
  /** Whether outcomes are looked up before a state is reported. */
  readonly looksUpOutcomes: boolean;
}

const REAL: LeaderFunctions = { mayStart: (dependencies, id) => dependencies.isReady(id), looksUpOutcomes: true };

/** The state that any controller reports, from all current records and the outcomes that they depend on. */
const reportState = (f: LeaderFunctions, m: ClusterModel, id: string): string => {
  const outcome = m.outcomes[id];
  if (outcome !== undefined) return outcome;
  const record = m.current[id];
  if (record === undefined) return "unknown";
  const dependencies = dependencyGraphOf(m.current, {});
  if (f.looksUpOutcomes) {
    for (
      let unresolved = dependencies.unresolvedFor(id);
      unresolved.length > 0;
      unresolved = dependencies.unresolvedFor(id)
    ) {
      for (const other of unresolved) dependencies.recordTerminalPhase(other, m.outcomes[other] ?? "done");
    }
  }
  return dependencies.isCancelled(id) ? "cancelled" : "open";
};

const nextSteps = (f: LeaderFunctions, m: ClusterModel): readonly (readonly [string, ClusterModel])[] => {
  const found: [string, ClusterModel][] = [];
  const write = (change: Partial<ClusterModel>): ClusterModel => ({ ...m, version: m.version + 1, ...change });
  const leader = dependencyGraphOf(m.recordsRead, m.outcomesRead);
  const without = (id: string): Records => {
    const { [id]: _, ...rest } = m.current;
    return rest;
  };
  for (const id of JOBS) {
    const dependencyIds = DEPENDENCIES[id] ?? [];
    const record = m.current[id];
    const known = (other: string): boolean => other in m.current || other in m.outcomes;
    if (!known(id) && !(id in m.checked) && dependencyIds.every(known)) {
      const dependencyCancelled = dependencyIds.some((other) => m.outcomes[other] === "cancelled");
      found.push([`check ${id}`, { ...m, checked: { ...m.checked, [id]: dependencyCancelled } }]);
    }
    if (id in m.checked && !known(id)) {
      const entry = { cancelled: m.checked[id] === true, version: m.version + 1 };
      found.push([`accept ${id}`, write({ current: { ...m.current, [id]: entry } })]);
    }
    if (record !== undefined && !record.cancelled) {
      const entry = { cancelled: true, version: m.version + 1 };
      found.push([`cancel ${id}`, write({ current: { ...m.current, [id]: entry } })]);
    }
    const recordRead = m.recordsRead[id];
    if (recordRead !== undefined && !m.started.includes(id) && !recordRead.cancelled && !leader.isCancelled(id)) {
      if (f.mayStart(leader, id)) found.push([`start ${id}`, { ...m, started: [...m.started, id] }]);
    }
    // Both outcomes are written on condition that the record still has the version that the leader has read.
    if (record !== undefined && record.version === recordRead?.version) {
      const endsAsCancelled = recordRead.cancelled || leader.isCancelled(id);
      const outcome: TerminalPhase | null = endsAsCancelled ? "cancelled" : m.started.includes(id) ? "done" : null;
      if (outcome !== null) {
        const outcomesRead = { ...m.outcomesRead, [id]: outcome };
        found.push([
          `end ${id}`,
          write({ current: without(id), outcomes: { ...m.outcomes, [id]: outcome }, outcomesRead }),
        ]);
      }
    }
  }
  found.push(["read", { ...m, recordsRead: m.current }]);
  const unreadOutcomes = leader.unresolved().filter((id) => id in m.outcomes);
  for (const id of unreadOutcomes) {
    found.push([`look up ${id}`, { ...m, outcomesRead: { ...m.outcomesRead, [id]: m.outcomes[id] as TerminalPhase } }]);
  }
  found.push(["failover", { ...m, recordsRead: m.current, outcomesRead: {} }]);
  return found;
};

const findViolation = (f: LeaderFunctions, m: ClusterModel): string | null => {
  for (const id of m.started) {
    for (const other of DEPENDENCIES[id] ?? [])
      if (m.outcomes[other] !== "done") return `${id} started before ${other} was done`;
  }
  for (const id of JOBS) {
    const now = reportState(f, m, id);
    const before = m.reported[id];
    if ((before === "cancelled" || before === "done") && now !== before) return `${id}: ${before}, then ${now}`;
    if (before === "open" && now === "unknown") return `${id}: reported as open, then as unknown`;
    const dependencyCancelled = (DEPENDENCIES[id] ?? []).some((other) => reportState(f, m, other) === "cancelled");
    if (dependencyCancelled && now !== "cancelled" && now !== "unknown")
      return `${id} is ${now} although a dependency is cancelled`;
  }
  return null;
};

const explore = (f: LeaderFunctions): { readonly found: string | null; readonly orders: number } => {
  const explored = new Map<string, number>();
  let orders = 0;
  const walk = (m: ClusterModel, path: readonly string[]): string | null => {
    orders += 1;
    const violation = findViolation(f, m);
    if (violation !== null) return `${path.join(", ")}: ${violation}`;
    if (path.length >= DEPTH) return null;
    const reported = Object.fromEntries(JOBS.map((id) => [id, reportState(f, m, id)]));
    const current: ClusterModel = { ...m, reported };
    const key = JSON.stringify({ ...current, version: 0 });
    const stepsLeft = DEPTH - path.length;
    if ((explored.get(key) ?? 0) >= stepsLeft) return null;
    explored.set(key, stepsLeft);
    for (const [name, next] of nextSteps(f, current)) {
      const result = walk(next, [...path, name]);
      if (result !== null) return result;
    }
    return null;
  };
  return { found: walk(INITIAL, []), orders };
};

test("in any order of events, no job starts before its dependencies and no report contradicts an earlier one", () => {
  const { found, orders } = explore(REAL);
  assert.equal(found, null);
  assert.ok(orders > 1_000, `${orders} orders`);
});

test("the exploration detects a leader that takes a missing job for done, and reports made without outcome lookups", () => {
  const missingCountsAsDone: LeaderFunctions = {
    ...REAL,
    mayStart: (dependencies, id) => dependencies.dependenciesOf(id).every((other) => !isResolved(dependencies, other)),
  };
  assert.match(explore(missingCountsAsDone).found ?? "", /started before/);
  assert.match(explore({ ...REAL, looksUpOutcomes: false }).found ?? "", /cancelled/);
});

/** Whether the job is current or its outcome is known to the graph. */
const isResolved = (dependencies: DependencyGraph, id: string): boolean => !dependencies.unresolved().includes(id);
