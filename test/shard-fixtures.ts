import assert from "node:assert/strict";
import { createMachine, type Machine } from "../src/cluster/machine.js";
import { ShardState } from "../src/cluster/shard-state.js";
import type { Task } from "../src/cluster/task.js";
import type { ShardContext } from "../src/coordination/context.js";
import type { TaskStateWriter } from "../src/coordination/jobs/task-state-writer.js";
import { LoadShedder } from "../src/coordination/overload/load-shedder.js";
import { HostClock, Simulation } from "../src/model/index.js";
import { decodeMachineTypes } from "../src/protocol/cloud.js";
import type { JobSpec } from "../src/protocol/job-spec.js";
import type { Heartbeat } from "../src/protocol/worker.js";
import { DEFAULT_OPTIONS } from "../src/settings/options.js";
import { parseSettings } from "../src/settings/parse-settings.js";
import type { HttpOutcome } from "../src/transport/http.js";
import { settingsText } from "./fixtures.js";

/**
 * Fixtures for tests of a shard's control loops: machine types, a job, machines, heartbeats and a context of doubles.
 */

/** A log that discards all entries. */
export const silentLog = { error: () => undefined, info: () => undefined, debug: () => undefined };
/** A callback that does nothing. */
export const noop = (): undefined => undefined;

/** The cloud's machine types: one, named `big`. */
export const MACHINE_TYPES = decodeMachineTypes({
  flavors: ["big"].map((sku) => ({
    sku,
    cpus: 32,
    accelerators: 0,
    ramGb: 128,
    localGb: 60,
    pullGbPerS: 0.6,
    price: 1.5,
    spotPrice: 0.6,
    bootS: 15,
    areas: ["east", "west"],
  })),
});

/** A job array of three tasks without dependencies or zone rules. */
export const JOB_SPEC: JobSpec = {
  id: "wk-1",
  jobClass: "batch",
  team: "open",
  shape: "array",
  priority: "high",
  tasks: 3,
  demand: { cpu: 4_000, gpu: 0, ram: 9_000 },
  types: null,
  zone: null,
  singleZone: false,
  spread: false,
  spot: true,
  image: "img",
  imageGb: 1,
  estimatedRunS: 30,
  checkpointIntervalS: 0,
  checkpointDurationS: 0,
  deadlineS: null,
};

const settings = parseSettings(settingsText(0));

/**
 * A shard with `machines` machines that are up, and the context of its control loops, in which every collaborator is a
 * double. `responses` are the workers' responses to HTTP requests, in order; further requests are not sent.
 */
export const makeShard = (machines: number, responses: HttpOutcome[] = []) => {
  const world = new Simulation();
  const clock = new HostClock(world, 1, 1_000_000);
  const shard = new ShardState(
    clock,
    128,
    settings.teams,
    () => new Map(MACHINE_TYPES.map((type) => [type.name, type])),
  );
  for (let at = 0; at < machines; at += 1) {
    const zone = at % 2 === 0 ? "east" : "west";
    const machine = createMachine(
      { name: `n-${at}`, typeName: "big", type: MACHINE_TYPES[0] ?? null, zone, spot: at % 3 === 0 },
      clock.now(),
    );
    Object.assign(machine, { state: "up", address: "10.1.0.1:9000" });
    Object.assign(machine.counters, { incarnation: 1, highestToken: 65_536 });
    shard.machines.set(machine.name, machine);
  }
  const context = {
    clock,
    log: silentLog,
    settings,
    options: DEFAULT_OPTIONS,
    shard,
    random: () => 0.5,
    loadShedder: new LoadShedder(clock, silentLog, null),
    onInspected: null,
    transactions: { writesPerSecond: 1e9, maxValueBytes: 1e9, maxWritesPerTransaction: 12, pendingCount: () => 0 },
    wallClock: null,
    mayStartTasks: () => true,
    http: { call: async () => responses.shift() ?? { kind: "unsent" } },
    lease: { shard: 0, epoch: 1, key: "c/block/0", version: 1, isValid: () => true },
    scheduleRound: noop,
    scheduleCommands: noop,
    queryStatus: noop,
    onFenced: noop,
    onInconsistent: noop,
  } as unknown as ShardContext;
  const taskStates = {
    recordPlacement: noop,
    recordSoon: noop,
    finishIfComplete: noop,
  } as unknown as TaskStateWriter;
  return { world, shard, context, taskStates };
};

/** The first task of a new job of `JOB_SPEC`, recorded as placed on the machine with attempt 1. */
export const placeTask = (shard: ShardState, machine: Machine): Task => {
  const job = shard.addJob(JOB_SPEC, 1, false);
  shard.createNextTaskRange(job);
  const task = [...job.waitingTasks][0];
  assert.ok(task !== undefined);
  shard.assignTask(task, machine);
  task.desired = { kind: "placed", attempt: 1, machine: machine.name };
  task.recorded = task.desired;
  return task;
};

/** A heartbeat of the shard's first machine; `fields` override the defaults. */
export const makeHeartbeat = (fields: Partial<Heartbeat> = {}): Heartbeat => ({
  machine: "n-0",
  address: "10.1.0.1:9000",
  type: "big",
  zone: "east",
  spot: false,
  incarnation: 1,
  sequence: 1,
  token: 65_536,
  reclaimNoticeS: null,
  tasks: [],
  taskListText: null,
  taskListUnchanged: false,
  ...fields,
});
