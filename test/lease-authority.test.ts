import assert from "node:assert/strict";
import { test } from "node:test";
import { isLeaseValid, pendingStops, permittedReplies } from "../src/coordination/leadership/lease-authority.js";
import { cancellationTerms } from "../src/settings/cancellation.js";
import type { Micros } from "../src/transport/clock.js";

test("a shard lease is invalid before the cache is loaded, and once the older of last renewal and cache view expires", () => {
  const lease = { isHolder: true, renewedAt: 100 as Micros, cacheFreshAsOf: 90 as Micros, duration: 50 as Micros };
  assert.equal(isLeaseValid(lease, 139 as Micros), true);
  assert.equal(isLeaseValid(lease, 140 as Micros), false);
  assert.equal(isLeaseValid({ ...lease, cacheFreshAsOf: 300 as Micros }, 150 as Micros), false);
  assert.equal(isLeaseValid({ ...lease, cacheFreshAsOf: null }, 10 as Micros), false);
  assert.equal(isLeaseValid({ ...lease, isHolder: false }, 100 as Micros), false);
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
const SHARD_LEASE = 10 * S;
const SHARD_LEASE_VALIDITY = (SHARD_LEASE - 0.51 * S) as Micros;
const WORKER_LEASE = 20 * S;
const CANCELLATION_BOUND = cancellationTerms(
  { heartbeatInterval: (3 * S) as Micros, lease: WORKER_LEASE as Micros, cancellationBound: (45 * S) as Micros },
  SHARD_LEASE as Micros,
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

interface LeaderModel {
  readonly epoch: number;
  readonly renewedAt: number;
  readonly viewedAt: number;
  /** The leader has read that the job was cancelled. */
  readonly cancellationRead: boolean;
  /** A renewal and a watch in flight, and whether the watch response will contain the cancellation. */
  readonly inFlight: { readonly sentAt: number; readonly cancellationRead: boolean } | null;
}

interface ClusterModel {
  readonly now: number;
  readonly old: LeaderModel;
  readonly next: LeaderModel | null;
  /** When the leader's lease expires in the key-value store, and the recorded shard epoch. */
  readonly leaseUntil: number;
  readonly recordedEpoch: number;
  readonly storeOutage: boolean;
  readonly oldLeaderRefused: boolean;
  readonly cancelledAt: number | null;
  readonly token: number;
  /** When the last answered heartbeat was sent; null: the worker's lease has expired, and its task has ended. */
  readonly workerLeaseFrom: number | null;
}

/** The functions under test, or deliberately faulty replacements. */
interface LeaseFunctions {
  readonly checkLease: typeof isLeaseValid;
  readonly checkReplies: typeof permittedReplies;
  readonly findStops: typeof pendingStops;
  /** The time from which a renewal or a view counts. */
  readonly effectiveTime: (sentAt: number, now: number) => number;
}

const REAL: LeaseFunctions = {
  checkLease: isLeaseValid,
  checkReplies: permittedReplies,
  findStops: pendingStops,
  effectiveTime: (sentAt) => sentAt,
};

const INITIAL: ClusterModel = {
  now: 100 * S,
  old: { epoch: 1, renewedAt: 100 * S, viewedAt: 100 * S, cancellationRead: false, inFlight: null },
  next: null,
  leaseUntil: 110 * S,
  recordedEpoch: 1,
  storeOutage: false,
  oldLeaderRefused: false,
  cancelledAt: null,
  token: 1,
  workerLeaseFrom: 100 * S,
};

const holdsValidLease = (f: LeaseFunctions, { renewedAt, viewedAt }: LeaderModel, now: number): boolean =>
  f.checkLease(
    {
      isHolder: true,
      renewedAt: renewedAt as Micros,
      cacheFreshAsOf: viewedAt as Micros,
      duration: SHARD_LEASE_VALIDITY,
    },
    now as Micros,
  );

const sendHeartbeat = (f: LeaseFunctions, m: ClusterModel, leader: LeaderModel | null): ClusterModel => {
  if (m.workerLeaseFrom === null || leader === null || !holdsValidLease(f, leader, m.now) || leader.epoch < m.token)
    return m;
  const tokenSeen = m.token >= leader.epoch;
  const { renew, command } = f.checkReplies({
    freshness: tokenSeen ? "fenced" : "unverified",
    tokenSeen,
    oneWay: false,
    unverifiedFor: 0 as Micros,
    workerLease: WORKER_LEASE as Micros,
  });
  if (!renew) return m;
  const jobs = new Map([["wk-a", { cancelled: leader.cancellationRead }]]);
  const stops = f.findStops([{ task: "wk-a/0", attempt: 1, state: "running", reason: null }], jobs);
  const stopped = stops.length > 0 || (command && leader.cancellationRead);
  return { ...m, token: leader.epoch, workerLeaseFrom: stopped ? null : m.now };
};

/** Leader events apply to the new leader once there is one: from then on the old leader is cut off from the store. */
const apply = (f: LeaseFunctions, before: ClusterModel, action: Action): ClusterModel => {
  // Each event takes time, in which a lease may expire.
  const m = { ...before, now: before.now + (action === "long wait" ? 7 : 1.5) * S };
  if (m.workerLeaseFrom !== null && m.now - m.workerLeaseFrom > WORKER_LEASE) m.workerLeaseFrom = null;
  const leaseExpired = !m.storeOutage && m.now > m.leaseUntil;
  const storeReachable = !m.storeOutage && (m.next !== null || !m.oldLeaderRefused);
  const side = m.next === null ? "old" : "next";
  const leader = m.next ?? m.old;
  const change = (fields: Partial<LeaderModel>): ClusterModel => ({ ...m, [side]: { ...leader, ...fields } });
  switch (action) {
    case "renew":
      if (!storeReachable || leaseExpired) return m;
      return { ...change({ renewedAt: m.now }), leaseUntil: m.now + SHARD_LEASE };
    case "send renewal and watch":
      if (!storeReachable || leaseExpired) return m;
      return {
        ...change({ inFlight: { sentAt: m.now, cancellationRead: m.cancelledAt !== null } }),
        leaseUntil: m.now + SHARD_LEASE,
      };
    case "receive their responses": {
      if (leader.inFlight === null) return m;
      const from = f.effectiveTime(leader.inFlight.sentAt, m.now);
      const [renewedAt, viewedAt] = [Math.max(leader.renewedAt, from), Math.max(leader.viewedAt, from)];
      return change({
        renewedAt,
        viewedAt,
        cancellationRead: leader.cancellationRead || leader.inFlight.cancellationRead,
        inFlight: null,
      });
    }
    case "watch":
      // The shard's key is deleted with the expired lease: the leader reads that and releases the shard.
      if (!storeReachable) return m;
      if (leaseExpired) return change({ viewedAt: 0, renewedAt: 0 });
      return change({ viewedAt: m.now, cancellationRead: leader.cancellationRead || m.cancelledAt !== null });
    case "heartbeat to the old leader":
      return sendHeartbeat(f, m, m.old);
    case "heartbeat to the new leader":
      return sendHeartbeat(f, m, m.next);
    case "store refuses the old leader":
      return { ...m, oldLeaderRefused: true };
    case "store outage begins":
      return { ...m, storeOutage: true };
    case "store outage ends":
      return m.storeOutage ? { ...m, storeOutage: false, leaseUntil: m.now + SHARD_LEASE } : m;
    case "confirm cancellation":
      return m.storeOutage || m.cancelledAt !== null ? m : { ...m, cancelledAt: m.now };
    case "failover": {
      if (!leaseExpired) return m;
      const epoch = m.recordedEpoch + 1;
      const next = {
        epoch,
        renewedAt: m.now,
        viewedAt: m.now,
        cancellationRead: m.cancelledAt !== null,
        inFlight: null,
      };
      // On a second failover, the previous leader becomes the old leader, which may continue as the first one did.
      return { ...m, old: m.next ?? m.old, next, recordedEpoch: epoch, leaseUntil: m.now + SHARD_LEASE };
    }
    case "long wait":
      return m;
  }
};

const findViolation = (f: LeaseFunctions, m: ClusterModel): string | null => {
  if (m.next !== null && holdsValidLease(f, m.old, m.now) && holdsValidLease(f, m.next, m.now))
    return "two leaders hold a valid lease";
  // Without a further heartbeat response, the task runs until its worker's lease expires.
  if (
    m.cancelledAt !== null &&
    m.workerLeaseFrom !== null &&
    m.workerLeaseFrom + WORKER_LEASE > m.cancelledAt + CANCELLATION_BOUND
  )
    return "task outlived the bound";
  return null;
};

/** Events after which a refused leader has been replaced, while its own lease may still be valid for a moment. */
const FAILOVER_EVENTS: readonly Action[] = [
  "store refuses the old leader",
  "watch",
  "long wait",
  "renew",
  "long wait",
  "failover",
];

const explore = (
  f: LeaseFunctions,
  depth: number,
  from: ClusterModel = INITIAL,
): { readonly orders: number; readonly broken: string | null } => {
  let orders = 0;
  const visit = (m: ClusterModel, path: readonly Action[]): string | null => {
    const violation = findViolation(f, m);
    if (violation !== null) return `${violation}: ${path.join(", ")}`;
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
  const afterFailover = FAILOVER_EVENTS.reduce((m, action) => apply(REAL, m, action), INITIAL);
  assert.equal(afterFailover.recordedEpoch, 2);
  const secondFailover = ["long wait", "long wait", "failover"] as const;
  assert.equal(secondFailover.reduce((m, action) => apply(REAL, m, action), afterFailover).recordedEpoch, 3);
  const { orders, broken } = explore(REAL, DEPTH, afterFailover);
  assert.equal(broken, null);
  assert.equal(orders, ACTIONS.length ** DEPTH);
});

const BROKEN: Readonly<Record<string, LeaseFunctions>> = {
  "renewals and watches count from the receipt of their responses": { ...REAL, effectiveTime: (_, now) => now },
  "a stale cache view does not invalidate the lease": {
    ...REAL,
    checkLease: ({ renewedAt, duration }, now) => now < renewedAt + duration,
  },
  "an expired renewal does not invalidate the lease": {
    ...REAL,
    checkLease: ({ cacheFreshAsOf, duration }, now) => cacheFreshAsOf !== null && now < cacheFreshAsOf + duration,
  },
  "a response renews the worker's lease without the pending stops before the token is seen": {
    ...REAL,
    findStops: () => [],
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
