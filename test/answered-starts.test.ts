/**
 * The record of answered start commands. Without it a new leader did not know which starts of its predecessor had no
 * response, and placed their tasks elsewhere; a start delivered after a reset of the worker's counters ran such a task
 * a second time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ShardState } from "../src/cluster/shard-state.js";
import { MAX_START_TRANSIT_TIME, type Task } from "../src/cluster/task.js";
import type { Services, ShardLease } from "../src/coordination/context.js";
import { AnsweredStarts } from "../src/coordination/workers/answered-starts.js";
import { HostClock, S, Simulation } from "../src/model/index.js";
import type { KeyValueEntry, WriteOperation } from "../src/protocol/key-value-store.js";
import { decodeAnsweredStarts } from "../src/storage/answered-starts-record.js";
import { answeredStartsKey } from "../src/storage/keys.js";
import type { Micros } from "../src/transport/clock.js";
import { Random } from "./random.js";

const nothing = (): undefined => undefined;
const KEY = answeredStartsKey(0);
const LATENCY = 5_000;

/** A placed task, the version of its record, and the time until which an unanswered start may be delivered. */
interface Placement {
  readonly task: Task;
  readonly version: number;
  lateUntil: number;
}

type WriteOutcome = "applied" | "response lost" | "applied late" | "refused";

interface Leader {
  readonly answeredStarts: AnsweredStarts;
  readonly unconfirmedStarts: Set<Task>;
}

/** Simulates the key-value store with recorded placements, and successive leaders. */
class LeaderSimulation {
  readonly world = new Simulation();
  readonly entries = new Map<string, KeyValueEntry>();
  readonly placements: Placement[] = [];
  revision = 1;
  epoch = 0;
  writes = 0;
  writeOutcome: () => WriteOutcome = () => "applied";

  constructor() {
    this.world.now = 1_000 * S;
  }

  get now(): Micros {
    return this.world.now as Micros;
  }

  electLeader(): Leader {
    this.epoch += 1;
    const { epoch } = this;
    const revisionNow = (): number => this.revision;
    const cache = {
      entries: this.entries,
      get currentRevision() {
        return revisionNow();
      },
      sync: async () => true,
    };
    const submit = (conditions: ReadonlyMap<string, unknown>, writes: readonly WriteOperation[]): Promise<unknown> =>
      this.submit(epoch, conditions, writes);
    const clock = new HostClock(this.world, 1, 0);
    const services = { cache, clock, transactions: { submit } } as unknown as Services;
    const lease: ShardLease = { shard: 0, epoch, key: "c/block/0", version: epoch, isValid: () => true };
    const unconfirmedStarts = new Set<Task>();
    const guard = async (work: Promise<unknown>): Promise<void> => void (await work);
    const shard = { unconfirmedStarts } as unknown as ShardState;
    return { answeredStarts: new AnsweredStarts(services, lease, shard, guard), unconfirmedStarts };
  }

  private async submit(
    epoch: number,
    conditions: ReadonlyMap<string, unknown>,
    [write]: readonly WriteOperation[],
  ): Promise<unknown> {
    this.writes += 1;
    await new Promise<void>((resolve) => this.world.after(LATENCY, resolve));
    const writeOutcome = this.writeOutcome();
    if (writeOutcome === "refused" || write?.kind !== "put") return { kind: "refused" };
    const apply = (): boolean => {
      // The lease condition rejects writes of a leader that has been replaced.
      if (epoch !== this.epoch || conditions.get(KEY) !== (this.entries.get(KEY)?.version ?? 0)) return false;
      this.revision += 1;
      this.entries.set(KEY, { key: KEY, value: JSON.parse(JSON.stringify(write.value)), version: this.revision });
      return true;
    };
    if (writeOutcome === "applied late") {
      this.world.after(7 * S, apply);
      return { kind: "lost" };
    }
    if (!apply()) return { kind: "conflict", keys: [KEY] };
    return writeOutcome === "response lost" ? { kind: "lost" } : { kind: "ok", version: this.revision };
  }

  place(leader: Leader, machine: string): Placement {
    this.revision += 1;
    const task = { machine: { name: machine }, startCommand: { kind: "none" }, unansweredStartAt: null };
    const placement = { task: task as unknown as Task, version: this.revision, lateUntil: 0 };
    this.placements.push(placement);
    leader.unconfirmedStarts.add(placement.task);
    return placement;
  }

  async run(us: number): Promise<void> {
    await this.world.run(this.world.now + us, nothing);
  }

  /** Publishes the record if due, and runs until the write has completed. */
  async publish({ answeredStarts }: Leader): Promise<void> {
    await this.run(2 * S);
    answeredStarts.publish();
    await this.run(S);
  }
}

const observe = ({ task }: Placement): void => {
  task.startCommand = { kind: "observed" };
};

const isAnswered = ({ answeredStarts }: Leader, { task, version }: Placement): boolean =>
  answeredStarts.wasAnswered(version, task.machine?.name ?? "");

test("a new leader holds only tasks placed after the record or on a machine that the record names", async () => {
  const simulation = new LeaderSimulation();
  const first = simulation.electLeader();
  const listed = simulation.place(first, "n-1");
  const pending = simulation.place(first, "n-2");
  observe(listed);
  await simulation.publish(first);
  const later = simulation.place(first, "n-1");
  observe(later);
  const second = simulation.electLeader();
  assert.equal(isAnswered(second, listed), true);
  assert.equal(isAnswered(second, pending), false, "no response to its start");
  assert.equal(isAnswered(second, later), false, "placed after the record was written");
});

test("a listed attempt counts as answered once an earlier start without a response can no longer be delivered", async () => {
  const simulation = new LeaderSimulation();
  const first = simulation.electLeader();
  const placement = simulation.place(first, "n-1");
  placement.task.unansweredStartAt = simulation.now;
  observe(placement);
  await simulation.publish(first);
  assert.equal(isAnswered(simulation.electLeader(), placement), false);
  const third = simulation.electLeader();
  third.unconfirmedStarts.add(placement.task);
  await simulation.run(MAX_START_TRANSIT_TIME);
  await simulation.publish(third);
  assert.equal(isAnswered(simulation.electLeader(), placement), true);
});

test("a record is trusted only from the immediately preceding leader: a leader of an older version starts tasks and writes none", async () => {
  const simulation = new LeaderSimulation();
  const first = simulation.electLeader();
  const placement = simulation.place(first, "n-1");
  observe(placement);
  await simulation.publish(first);
  simulation.epoch += 1;
  assert.equal(isAnswered(simulation.electLeader(), placement), false);
});

test("with too many machines to name, the content on record is kept, under the epoch of the leader that trusts it", async () => {
  const simulation = new LeaderSimulation();
  const first = simulation.electLeader();
  const placement = simulation.place(first, "n-1");
  observe(placement);
  await simulation.publish(first);
  const second = simulation.electLeader();
  const unanswered = Array.from({ length: 257 }, (_, at) => simulation.place(second, `m-${at}`));
  await simulation.publish(second);
  const third = simulation.electLeader();
  assert.equal(isAnswered(third, placement), true);
  assert.deepEqual(
    unanswered.filter((candidate) => isAnswered(third, candidate)),
    [],
  );
});

test("the record is written at most every two seconds, and not at all if unchanged", async () => {
  const simulation = new LeaderSimulation();
  const leader = simulation.electLeader();
  for (let tick = 0; tick < 400; tick += 1) {
    if (tick < 200) observe(simulation.place(leader, "n-1"));
    leader.answeredStarts.publish();
    await simulation.run(S / 4);
  }
  assert.ok(
    simulation.writes >= 20 && simulation.writes <= 27,
    `${simulation.writes} writes in 100 s, 50 s of them with placements`,
  );
});

/** Restores the placements in the new leader. Returns how many of them it does not hold. */
const failOver = (simulation: LeaderSimulation, leader: Leader): number => {
  let released = 0;
  for (const placement of simulation.placements) {
    const { task, lateUntil } = placement;
    const answered = isAnswered(leader, placement);
    assert.ok(!answered || lateUntil <= simulation.now, "a start may still be delivered that is on record as answered");
    task.startCommand = { kind: "uncertain", token: 0, answered };
    task.unansweredStartAt = answered ? null : simulation.now;
    if (answered) released += 1;
    else leader.unconfirmedStarts.add(task);
  }
  return released;
};

/** The worker lists the attempt: an unanswered start is delivered within the maximum start delay. */
const listAttempt = (placement: Placement): void => {
  observe(placement);
  const { unansweredStartAt } = placement.task;
  if (unansweredStartAt !== null)
    placement.lateUntil = Math.min(placement.lateUntil, unansweredStartAt + MAX_START_TRANSIT_TIME);
};

/** Sends a direct start, with or without a response. */
const startDirectly = (simulation: LeaderSimulation, placement: Placement, isAnsweredNow: boolean): void => {
  const { task } = placement;
  if (isAnsweredNow) listAttempt(placement);
  else {
    task.startCommand = { kind: "uncertain", token: 0 };
    task.unansweredStartAt = simulation.now;
    placement.lateUntil = Number.POSITIVE_INFINITY;
  }
};

/** Whether leaders follow the rule that a task whose starts are on record as answered is sent no direct start. */
type DirectStarts = "unconfirmed only" | "any";

/** Simulates random events and failovers. Returns how many placements new leaders did not hold. */
const simulateRandomLeaders = async (random: Random, directStarts: DirectStarts): Promise<number> => {
  const simulation = new LeaderSimulation();
  const writeOutcomes: readonly WriteOutcome[] = ["applied", "applied", "response lost", "applied late", "refused"];
  simulation.writeOutcome = () => writeOutcomes[random.int(0, writeOutcomes.length - 1)] ?? "applied";
  let leader = simulation.electLeader();
  let released = 0;
  for (let step = 0; step < 300; step += 1) {
    const placement = simulation.placements[random.int(0, Math.max(0, simulation.placements.length - 1))];
    const event = random.int(0, 9);
    if (event < 3) simulation.place(leader, `n-${random.int(0, 6)}`);
    else if (event < 6 && placement !== undefined) {
      if (directStarts === "any" || leader.unconfirmedStarts.has(placement.task))
        startDirectly(simulation, placement, random.chance(0.8));
    } else if (event === 6 && placement !== undefined) listAttempt(placement);
    else if (event === 7 && random.chance(0.2)) {
      leader = simulation.electLeader();
      released += failOver(simulation, leader);
    }
    leader.answeredStarts.publish();
    await simulation.run(random.int(0, 4 * S));
  }
  return released;
};

test("with writes lost, late or refused, no start that may still be delivered is on record as answered", async () => {
  let released = 0;
  for (let seed = 1; seed <= 60; seed += 1) {
    try {
      released += await simulateRandomLeaders(new Random(seed), "unconfirmed only");
    } catch (error) {
      throw new Error(`seed ${seed}`, { cause: error });
    }
  }
  assert.ok(released > 100, `only ${released} placements were released, expected more than 100`);
});

test("the simulation detects a direct start of a task whose starts are on record as answered", async () => {
  const simulations = Array.from({ length: 60 }, (_, at) => simulateRandomLeaders(new Random(at + 1), "any"));
  await assert.rejects(Promise.all(simulations), /on record as answered/);
});

test("the stored record holds the epoch, the revision and the machines that a controller of another version reads", async () => {
  const simulation = new LeaderSimulation();
  const leader = simulation.electLeader();
  simulation.place(leader, "n-1");
  await simulation.publish(leader);
  assert.deepEqual(decodeAnsweredStarts(simulation.entries.get(KEY)?.value), {
    epoch: 1,
    revision: 2,
    unansweredMachines: ["n-1"],
  });
});
