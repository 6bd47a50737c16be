import assert from "node:assert/strict";
import { test } from "node:test";
import { isLeaseValid, pendingStops, permittedReplies } from "../src/coordination/leadership/lease-authority.js";
import { cancellationTerms } from "../src/settings/cancellation.js";
import type { Micros } from "../src/transport/clock.js";

test("a shard lease is invalid before the cache is loaded, and once the older of last renewal and cache view expires", () => {
  const right = { isHolder: true, renewedAt: 100 as Micros, cacheFreshAsOf: 90 as Micros, duration: 50 as Micros };
  assert.equal(isLeaseValid(right, 139 as Micros), true);
  assert.equal(isLeaseValid(right, 140 as Micros), false);
  assert.equal(isLeaseValid({ ...right, cacheFreshAsOf: 300 as Micros }, 150 as Micros), false);
  assert.equal(isLeaseValid({ ...right, cacheFreshAsOf: null }, 10 as Micros), false);
  assert.equal(isLeaseValid({ ...right, isHolder: false }, 100 as Micros), false);
});

test("pending stops cover all reported tasks whose job is cancelled or has ended, except tasks that have exited", () => {
  const task = (name: string, state: "running" | "fetching" | "exited") => ({
    task: name,
    attempt: 2,
    state,
    reason: null,
  });
  const jobs = new Map([
    ["wk-a", { cancelled: false }],
    ["wk-b", { cancelled: true }],
  ]);
  const list = [
    task("wk-a/0", "running"),
    task("wk-b/0", "fetching"),
    task("wk-b/1", "exited"),
    task("wk-c/7", "running"),
  ];
  assert.deepEqual(
    pendingStops(list, jobs).map((command) => command.task),
    ["wk-b/0", "wk-c/7"],
  );
});

// Exhaustive exploration of event orders between the cancellation of a job and the end of its last task ------------

const S = 1_000_000;
const TTL = 10 * S;
const SPAN = (TTL - 0.51 * S) as Micros;
const LEASE = 20 * S;
const BOUND = cancellationTerms(
  { heartbeatInterval: (3 * S) as Micros, lease: LEASE as Micros, cancellationBound: (45 * S) as Micros },
  TTL as Micros,
).total;

const ACTIONS = [
  "renew",
  "send renewal and watch",
  "receive their responses",
  "watch",
  "heartbeat to the old leader",
  "heartbeat to the new leader",
  "store refuses the old leader",
  "store outage begins",
  "store outage ends",
  "confirm cancellation",
  "failover",
  "long wait",
] as const;
type Action = (typeof ACTIONS)[number];

interface Holder {
  readonly number: number;
  readonly renewed: number;
  readonly viewed: number;
  /** The leader has read that the job was cancelled. */
  readonly knows: boolean;
  /** A renewal and a watch in flight, and whether the watch response will contain the cancellation. */
  readonly sent: { readonly at: number; readonly knows: boolean } | null;
}

interface Moment {
  readonly now: number;
  readonly old: Holder;
  readonly next: Holder | null;
  /** When the leader's lease expires in the key-value store, and the recorded shard epoch. */
  readonly grantUntil: number;
  readonly number: number;
  readonly away: boolean;
  readonly refused: boolean;
  readonly confirmedAt: number | null;
  readonly token: number;
  /** When the last answered heartbeat was sent; null: the worker's lease has expired, and its task has ended. */
  readonly leaseFrom: number | null;
}

/** The functions under test, or deliberately faulty replacements. */
interface Functions {
  readonly mayAct: typeof isLeaseValid;
  readonly allowedTo: typeof permittedReplies;
  readonly stopsOwed: typeof pendingStops;
  /** The time from which a renewal or a view counts. */
  readonly countsFrom: (sentAt: number, now: number) => number;
}

const REAL: Functions = {
  mayAct: isLeaseValid,
  allowedTo: permittedReplies,
  stopsOwed: pendingStops,
  countsFrom: (sentAt) => sentAt,
};

const BEGIN: Moment = {
  now: 100 * S,
  old: { number: 1, renewed: 100 * S, viewed: 100 * S, knows: false, sent: null },
  next: null,
  grantUntil: 110 * S,
  number: 1,
  away: false,
  refused: false,
  confirmedAt: null,
  token: 1,
  leaseFrom: 100 * S,
};

const acts = (f: Functions, { renewed, viewed }: Holder, now: number): boolean =>
  f.mayAct(
    { isHolder: true, renewedAt: renewed as Micros, cacheFreshAsOf: viewed as Micros, duration: SPAN },
    now as Micros,
  );

const report = (f: Functions, m: Moment, leader: Holder | null): Moment => {
  if (m.leaseFrom === null || leader === null || !acts(f, leader, m.now) || leader.number < m.token) return m;
  const tokenSeen = m.token >= leader.number;
  const { renew, command } = f.allowedTo({
    freshness: tokenSeen ? "fenced" : "unverified",
    tokenSeen,
    oneWay: false,
    unverifiedFor: 0 as Micros,
    workerLease: LEASE as Micros,
  });
  if (!renew) return m;
  const jobs = new Map([["wk-a", { cancelled: leader.knows }]]);
  const owed = f.stopsOwed([{ task: "wk-a/0", attempt: 1, state: "running", reason: null }], jobs);
  const stopped = owed.length > 0 || (command && leader.knows);
  return { ...m, token: leader.number, leaseFrom: stopped ? null : m.now };
};

/** Leader events apply to the new leader once there is one: from then on the old leader is cut off from the store. */
const apply = (f: Functions, before: Moment, action: Action): Moment => {
  // Each event takes time, in which a lease may expire.
  const m = { ...before, now: before.now + (action === "long wait" ? 7 : 1.5) * S };
  if (m.leaseFrom !== null && m.now - m.leaseFrom > LEASE) m.leaseFrom = null;
  const ended = !m.away && m.now > m.grantUntil;
  const served = !m.away && (m.next !== null || !m.refused);
  const side = m.next === null ? "old" : "next";
  const leader = m.next ?? m.old;
  const change = (fields: Partial<Holder>): Moment => ({ ...m, [side]: { ...leader, ...fields } });
  switch (action) {
    case "renew":
      if (!served || ended) return m;
      return { ...change({ renewed: m.now }), grantUntil: m.now + TTL };
    case "send renewal and watch":
      if (!served || ended) return m;
      return { ...change({ sent: { at: m.now, knows: m.confirmedAt !== null } }), grantUntil: m.now + TTL };
    case "receive their responses": {
      if (leader.sent === null) return m;
      const from = f.countsFrom(leader.sent.at, m.now);
      const [renewed, viewed] = [Math.max(leader.renewed, from), Math.max(leader.viewed, from)];
      return change({ renewed, viewed, knows: leader.knows || leader.sent.knows, sent: null });
    }
    case "watch":
      // The shard's key is deleted with the expired lease: the leader reads that and releases the shard.
      if (!served) return m;
      if (ended) return change({ viewed: 0, renewed: 0 });
      return change({ viewed: m.now, knows: leader.knows || m.confirmedAt !== null });
    case "heartbeat to the old leader":
      return report(f, m, m.old);
    case "heartbeat to the new leader":
      return report(f, m, m.next);
    case "store refuses the old leader":
      return { ...m, refused: true };
    case "store outage begins":
      return { ...m, away: true };
    case "store outage ends":
      return m.away ? { ...m, away: false, grantUntil: m.now + TTL } : m;
    case "confirm cancellation":
      return m.away || m.confirmedAt !== null ? m : { ...m, confirmedAt: m.now };
    case "failover": {
      if (!ended) return m;
      const number = m.number + 1;
      const next = { number, renewed: m.now, viewed: m.now, knows: m.confirmedAt !== null, sent: null };
      // On a second failover, the previous leader becomes the old leader, which may continue as the first one did.
      return { ...m, old: m.next ?? m.old, next, number, grantUntil: m.now + TTL };
    }
    case "long wait":
      return m;
  }
};

const wrong = (f: Functions, m: Moment): string | null => {
  if (m.next !== null && acts(f, m.old, m.now) && acts(f, m.next, m.now)) return "two leaders hold a valid lease";
  // Without a further heartbeat response, the task runs until its worker's lease expires.
  if (m.confirmedAt !== null && m.leaseFrom !== null && m.leaseFrom + LEASE > m.confirmedAt + BOUND)
    return "task outlived the bound";
  return null;
};

/** Events after which a refused leader has been replaced, while its own lease may still be valid for a moment. */
const FOLLOWED: readonly Action[] = [
  "store refuses the old leader",
  "watch",
  "long wait",
  "renew",
  "long wait",
  "failover",
];

const explore = (
  f: Functions,
  depth: number,
  from: Moment = BEGIN,
): { readonly orders: number; readonly broken: string | null } => {
  let orders = 0;
  const visit = (m: Moment, path: readonly Action[]): string | null => {
    const what = wrong(f, m);
    if (what !== null) return `${what}: ${path.join(", ")}`;
    if (path.length === depth) {
      orders += 1;
      return null;
    }
    for (const action of ACTIONS) {
      const broken = visit(apply(f, m, action), [...path, action]);
      if (broken !== null) return broken;
    }
    return null;
  };
  const broken = visit(from, []);
  return { orders, broken };
};

/** Number of events in an order; a deeper run, started by hand: RAINRIDGE_DEPTH=7 (docs/results.md). */
const DEPTH = Number(process.env.RAINRIDGE_DEPTH ?? 5);

test(`in any order of events, a cancelled task ends within the bound, and at most one lease is valid (${DEPTH} events)`, {
  timeout: 3_600_000,
}, () => {
  const { orders, broken } = explore(REAL, DEPTH);
  assert.equal(broken, null);
  assert.equal(orders, ACTIONS.length ** DEPTH);
});

test(`the same holds after a failover, with a second failover among the events (${DEPTH} events)`, {
  timeout: 3_600_000,
}, () => {
  const followed = FOLLOWED.reduce((m, action) => apply(REAL, m, action), BEGIN);
  assert.equal(followed.number, 2);
  const twice = ["long wait", "long wait", "failover"] as const;
  assert.equal(twice.reduce((m, action) => apply(REAL, m, action), followed).number, 3);
  const { orders, broken } = explore(REAL, DEPTH, followed);
  assert.equal(broken, null);
  assert.equal(orders, ACTIONS.length ** DEPTH);
});

const BROKEN: Readonly<Record<string, Functions>> = {
  "renewals and watches count from the receipt of their responses": { ...REAL, countsFrom: (_, now) => now },
  "a stale cache view does not invalidate the lease": {
    ...REAL,
    mayAct: ({ renewedAt, duration }, now) => now < renewedAt + duration,
  },
  "an expired renewal does not invalidate the lease": {
    ...REAL,
    mayAct: ({ cacheFreshAsOf, duration }, now) => cacheFreshAsOf !== null && now < cacheFreshAsOf + duration,
  },
  "a response renews the worker's lease without the pending stops before the token is seen": {
    ...REAL,
    stopsOwed: () => [],
  },
};

for (const [name, functions] of Object.entries(BROKEN)) {
  test(`the exploration detects the fault if ${name}`, () => {
    // Finds the shortest order of events that shows the fault.
    let found: string | null = null;
    for (let depth = 1; found === null && depth <= 6; depth += 1) found = explore(functions, depth).broken;
    assert.match(found ?? "nothing found", /two leaders hold a valid lease|task outlived the bound/);
  });
}
