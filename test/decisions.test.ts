import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job } from "../src/cluster/job.js";
import { createMachine, type Machine } from "../src/cluster/machine.js";
import { ShardState } from "../src/cluster/shard-state.js";
import type { Task } from "../src/cluster/task.js";
import { CapacityBackoff } from "../src/coordination/autoscaling/capacity-backoff.js";
import type { CloudOffers } from "../src/coordination/autoscaling/cloud-offers.js";
import { DemandHistory } from "../src/coordination/autoscaling/demand-history.js";
import { planScaling } from "../src/coordination/autoscaling/scale-plan.js";
import { neverRuns, type UnreadyReason, unready } from "../src/coordination/scheduling/eligibility.js";
import { decideRound, newRoundState } from "../src/coordination/scheduling/placement-round.js";
import type { RoundAction } from "../src/coordination/scheduling/round-action.js";
import type { SchedulerSnapshot } from "../src/coordination/scheduling/scheduler-snapshot.js";
import { decideEvictions } from "../src/coordination/workers/graceful-eviction.js";
import { HostClock, World } from "../src/model/index.js";
import { decodeSubmission } from "../src/protocol/job-messages.js";
import type { JobSpec } from "../src/protocol/job-spec.js";
import { DEFAULT_OPTIONS } from "../src/settings/options.js";
import { parseSettings } from "../src/settings/parse-settings.js";
import { type Micros, seconds } from "../src/transport/clock.js";
import { bigType, settingsText } from "./fixtures.js";
import { plainJob } from "./sim/cluster.js";

const TYPE = bigType(["east", "west"]);
const TOKEN = 65_536;

const setUp = (machines: number) => {
  const world = new World();
  world.now = 1_000_000_000;
  const clock = new HostClock(world, 1, 0);
  const settings = parseSettings(settingsText(0));
  const shard = new ShardState(clock, 128, settings.teams, () => new Map([[TYPE.name, TYPE]]));
  for (let at = 0; at < machines; at += 1) {
    const machine = createMachine(
      { name: `n-${at}`, typeName: "big", type: TYPE, zone: "east", spot: false },
      clock.now(),
    );
    machine.state = "up";
    Object.assign(machine.counters, { incarnation: 1, highestToken: TOKEN });
    shard.machines.set(machine.name, machine);
  }
  const picture = (): SchedulerSnapshot => ({
    now: clock.now(),
    shard,
    settings,
    options: DEFAULT_OPTIONS,
    heartbeatTimeout: seconds(5),
    maxPreemptionSearches: 24,
    recordBudget: { urgent: Number.POSITIVE_INFINITY, normal: Number.POSITIVE_INFINITY },
    guaranteesOvercommitted: false,
    firstFencingToken: TOKEN,
    inspection: { count: 0 },
  });
  const add = (fields: Parameters<typeof plainJob>[1], ref: string): Job =>
    shard.addJob(decodeSubmission(plainJob(ref, fields)), 1, false);
  /** Carries out what is decided, as far as the picture is concerned. */
  const round = (): RoundAction[] => {
    const actions: RoundAction[] = [];
    for (const action of decideRound(picture(), newRoundState())) {
      actions.push(action);
      if (action.kind === "place") shard.assignTask(action.task, action.machine);
      if (action.kind === "postpone search") action.task.nextPreemptionSearch = action.notBefore;
    }
    return actions;
  };
  const running = (job: Job): void => {
    for (const task of job.placedTasks)
      Object.assign(task, { startCommand: { kind: "observed" }, state: "running", runningSince: clock.now() });
  };
  const [first] = shard.machines.values();
  return { world, clock, block: shard, settings, picture, add, round, running, machine: first as Machine };
};

const waits = (actions: readonly RoundAction[]): string[] =>
  actions.flatMap((action) => (action.kind === "wait" ? [`${action.job.spec.id}: ${action.reason}`] : []));

test("what waits says why, and says something else once the cause is gone", () => {
  const { add, round, block } = setUp(1);
  add({ owner: "capped", shards: 20, cpus: 1 }, "wk-limited");
  add({ shards: 3, cpus: 12, rank: "normal" }, "wk-large");
  add({ shape: "ensemble", shards: 4, cpus: 8, rank: "best_effort" }, "wk-gang");
  add({ shards: 2, cpus: 16, together: true, rank: "best_effort" }, "wk-one-zone");
  // The limited team fills the machine up to its own limit: 16 CPUs.
  assert.deepEqual(waits(round()), [
    "wk-limited: team limit",
    "wk-large: no capacity",
    "wk-one-zone: no zone",
    "wk-gang: no capacity",
  ]);
  for (const task of [...(block.jobs.get("wk-limited")?.placedTasks ?? [])]) block.releaseTask(task);
  block.jobs.delete("wk-limited");
  assert.deepEqual(waits(round()), ["wk-large: no capacity", "wk-one-zone: no zone", "wk-gang: no capacity"]);
  assert.equal(block.jobs.get("wk-large")?.placedTasks.size, 1);
});

test("a job that has just come is placed in the round under way, though the clock goes on meanwhile", () => {
  const { add, picture, world } = setUp(1);
  add({ shards: 2 }, "wk-1");
  const begun = picture();
  world.now += 40;
  const actions = [...decideRound(begun, newRoundState())];
  assert.ok(
    actions.some(({ kind }) => kind === "place"),
    JSON.stringify(actions.map(({ kind }) => kind)),
  );
});

test("what is stopped for whom comes with its reason", () => {
  const lower = setUp(1);
  lower.add({ shards: 4, cpus: 4, rank: "normal", saveEveryS: 5, saveTakesS: 1.2 }, "wk-low");
  lower.round();
  const low = lower.block.jobs.get("wk-low");
  assert.ok(low !== undefined && low.placedTasks.size === 4);
  lower.add({ shards: 1, cpus: 6, rank: "high" }, "wk-high");
  // Not seen running yet: a start may be under way, and nothing is stopped on a guess.
  assert.deepEqual(
    lower.round().filter(({ kind }) => kind === "preempt"),
    [],
  );
  lower.running(low);
  for (const task of lower.block.jobs.get("wk-high")?.waitingTasks ?? []) task.nextPreemptionSearch = 0 as Micros;
  const stop = lower.round().find((action) => action.kind === "preempt");
  assert.ok(stop?.kind === "preempt");
  assert.equal(stop.by.job.spec.id, "wk-high");
  assert.deepEqual(
    stop.victims.map(({ reason, graceS }) => [reason, graceS]),
    [
      ["outranked", 2],
      ["outranked", 2],
    ],
  );

  const entitled = setUp(1);
  entitled.add({ shards: 4, cpus: 4, owner: "open" }, "wk-borrows");
  entitled.round();
  entitled.running(entitled.block.jobs.get("wk-borrows") as Job);
  entitled.add({ shards: 1, cpus: 4, owner: "capped" }, "wk-entitled");
  // Patience first: room may come up by itself.
  assert.equal(
    entitled.round().some(({ kind }) => kind === "preempt"),
    false,
  );
  entitled.world.now += 7_000_000;
  entitled.machine.reachability.lastHeartbeatAt = entitled.clock.now();
  const guarantee = entitled.round().find((action) => action.kind === "preempt");
  assert.ok(guarantee?.kind === "preempt" && guarantee.victims[0]?.reason === "guarantee");
});

test("a machine that takes nothing says why", () => {
  const cases: [(machine: Machine) => void, UnreadyReason | null][] = [
    [() => undefined, null],
    [(machine) => Object.assign(machine, { type: null }), "type unknown"],
    [(machine) => Object.assign(machine, { state: "booting" }), "booting"],
    [({ lifecycle }) => Object.assign(lifecycle, { drainReason: "faulty" }), "draining"],
    [({ lifecycle }) => Object.assign(lifecycle, { deleting: true }), "draining"],
    [({ lifecycle }) => Object.assign(lifecycle, { reclaimAt: 1 as Micros }), "reclaim notice"],
    [({ lease }) => Object.assign(lease, { expired: true }), "lease expired"],
    [({ reported }) => Object.assign(reported, { unexpectedTasks: new Map([["wk-1/0", 1]]) }), "unexpected tasks"],
    [({ lifecycle }) => Object.assign(lifecycle, { quarantinedUntil: 2e9 as Micros }), "quarantined"],
    [({ reachability }) => Object.assign(reachability, { lastHeartbeatAt: 1 as Micros }), "heartbeat overdue"],
    [({ counters }) => Object.assign(counters, { highestToken: 1 }), "fencing token unverified"],
  ];
  for (const [change, reason] of cases) {
    const { machine, picture, add, round } = setUp(1);
    change(machine);
    assert.equal(unready(machine, picture()), reason);
    add({ shards: 1 }, "wk-1");
    assert.equal(
      round().some(({ kind }) => kind === "place"),
      reason === null,
      String(reason),
    );
  }
});

test("jobs that can never run are told apart from those that wait", () => {
  const { settings } = setUp(0);
  const types = new Map([[TYPE.name, TYPE]]);
  const never = (fields: Parameters<typeof plainJob>[1]): string | null =>
    neverRuns(decodeSubmission(plainJob("wk-1", fields)) as JobSpec, settings, types);
  assert.equal(never({}), null);
  assert.equal(never({ owner: "nobody" }), "unknown team");
  assert.equal(never({ cpus: 17 }), "a task fits no allowed machine type");
  assert.equal(never({ flavors: ["small"] }), "a task fits no allowed machine type");
  assert.equal(never({ owner: "capped", shards: 100, cpus: 1 }), null);
  assert.equal(never({ owner: "capped", shards: 17, cpus: 1, shape: "daemon" }), "more than the team's limit");
});

test("what is rented and given back comes with its reason, and refusals are let be longer each time", () => {
  const { picture, add, block, clock, world } = setUp(2);
  const refusals = new CapacityBackoff();
  const offers: CloudOffers = {
    pendingRequests: [],
    unavailableUntil: (key) => refusals.until(key),
    unreachableZones: new Set(),
    demandHistory: new DemandHistory(),
  };
  world.now += 200_000_000;
  for (const machine of block.machines.values()) machine.reachability.lastHeartbeatAt = clock.now();
  const idle = planScaling(picture(), offers);
  assert.deepEqual(idle.scaleOut, []);
  assert.deepEqual(
    idle.scaleIn.map(({ machine, reason }) => [machine.name, reason]),
    [
      ["n-0", "idle"],
      ["n-1", "idle"],
    ],
  );
  add({ shards: 12, cpus: 4 }, "wk-1");
  const plan = planScaling(picture(), offers);
  assert.deepEqual(
    plan.scaleOut.map(({ offer, count, reasons }) => [offer.zone, offer.spot, count, [...reasons]]),
    [["west", false, 1, ["waiting"]]],
  );
  assert.deepEqual(plan.scaleIn, []);
  const [wanted] = plan.scaleOut;
  assert.ok(wanted !== undefined);
  const times = [0, 1, 2, 5, 9].map((count) => {
    const fresh = new CapacityBackoff();
    for (let at = 0; at <= count; at += 1) fresh.recordGrant(wanted.offer, 2, 1, clock.now());
    return (fresh.until("big/west/false") - clock.now()) / 1_000_000;
  });
  assert.deepEqual(times, [4, 8, 16, 40, 40]);
  refusals.recordGrant(wanted.offer, 1, 0, clock.now());
  assert.equal(planScaling(picture(), offers).scaleOut[0]?.offer.zone, "east");
  refusals.recordGrant(wanted.offer, 1, 1, clock.now());
  assert.equal(planScaling(picture(), offers).scaleOut[0]?.offer.zone, "west");
});

test("a drain stops what will not end in time, and lets go at once of what never started", () => {
  const { add, round, block, machine, running, clock } = setUp(1);
  add({ shards: 3, cpus: 2, guessS: 100, saveEveryS: 5, saveTakesS: 2 }, "wk-long");
  add({ shards: 1, cpus: 2, guessS: 5 }, "wk-short");
  round();
  for (const job of block.jobs.values()) running(job);
  const [unstarted] = block.jobs.get("wk-long")?.placedTasks ?? [];
  (unstarted as Task).startCommand = { kind: "none" };
  assert.deepEqual([...decideEvictions(machine, clock.now())], []);
  machine.lifecycle.reclaimAt = (clock.now() + seconds(20)) as Micros;
  const actions = [...decideEvictions(machine, clock.now())];
  assert.deepEqual(
    actions.map((action) => [action.kind, action.task.job.spec.id, action.kind === "stop" ? action.graceS : 0]),
    [
      ["release", "wk-long", 0],
      ["stop", "wk-long", 2],
      ["stop", "wk-long", 2],
    ],
  );
  // Too late to save.
  machine.lifecycle.reclaimAt = (clock.now() + seconds(1)) as Micros;
  const late = [...decideEvictions(machine, clock.now())].filter(({ kind }) => kind === "stop");
  assert.deepEqual(
    late.map((action) => action.kind === "stop" && action.graceS),
    [0, 0, 0],
  );
});
