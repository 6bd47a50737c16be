import assert from "node:assert/strict";
import { Block } from "../src/bookkeeping/block.js";
import { newMachine } from "../src/bookkeeping/machines.js";
import type { Machine, Task } from "../src/bookkeeping/picture.js";
import type { BlockContext } from "../src/coordination/context.js";
import { Overload } from "../src/coordination/overload.js";
import type { Recorder } from "../src/coordination/recorder.js";
import { HostClock, World } from "../src/model/index.js";
import { readTypes } from "../src/protocol/cloud.js";
import type { JobSpec } from "../src/protocol/user.js";
import type { Report } from "../src/protocol/worker.js";
import { DEFAULT_OPTIONS } from "../src/settings/options.js";
import { parseSettings } from "../src/settings/settings.js";
import type { Outcome } from "../src/transport/http.js";
import { settingsText } from "./fixtures.js";

export const quiet = { error: () => undefined, info: () => undefined, debug: () => undefined };
export const nothing = (): undefined => undefined;

export const TYPES = readTypes({
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

export const SPEC: JobSpec = {
  id: "wk-1",
  jobClass: "batch",
  team: "open",
  shape: "array",
  priority: "high",
  tasks: 3,
  demand: { cpu: 4_000, gpu: 0, ram: 9_000 },
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  image: "img",
  imageGb: 1,
  estimateS: 30,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
};

const settings = parseSettings(settingsText(0));

/** A block of machines that are up, and the context its loops work in, with nothing else around it. */
export const makeBlock = (machines: number, answers: Outcome[] = []) => {
  const world = new World();
  const clock = new HostClock(world, 1, 1_000_000);
  const block = new Block(clock, 128, settings.teams, () => new Map(TYPES.map((type) => [type.name, type])));
  for (let at = 0; at < machines; at += 1) {
    const zone = at % 2 === 0 ? "east" : "west";
    const machine = newMachine(`n-${at}`, "big", TYPES[0] ?? null, zone, at % 3 === 0, clock.now());
    Object.assign(machine, { state: "up", address: "10.1.0.1:9000", session: 1, seenToken: 65_536 });
    block.machines.set(machine.name, machine);
  }
  const context = {
    clock,
    log: quiet,
    settings,
    options: DEFAULT_OPTIONS,
    block,
    random: () => 0.5,
    overload: new Overload(clock, quiet, null),
    spent: null,
    committer: { rate: 1e9, valueBytes: 1e9, mostWrites: 12, waiting: () => 0 },
    wall: null,
    mayStart: () => true,
    http: { call: async () => answers.shift() ?? { kind: "unsent" } },
    lease: { block: 0, number: 1, key: "c/block/0", version: 1, valid: () => true },
    wakeRound: nothing,
    wakeCommands: nothing,
    inquire: nothing,
    fenced: nothing,
    startOver: nothing,
  } as unknown as BlockContext;
  const recorder = { mark: nothing, note: nothing, finish: nothing } as unknown as Recorder;
  return { world, block, context, recorder };
};

export const placedTask = (block: Block, machine: Machine): Task => {
  const job = block.addJob(SPEC, 1, false);
  block.openRange(job);
  const task = [...job.waiting][0];
  assert.ok(task !== undefined);
  block.occupy(task, machine);
  task.want = { kind: "placed", attempt: 1, machine: machine.name };
  task.durable = task.want;
  return task;
};

/** What the first machine of a block says, but for the given fields. */
export const report = (fields: Partial<Report> = {}): Report => ({
  machine: "n-0",
  address: "10.1.0.1:9000",
  type: "big",
  zone: "east",
  spot: false,
  session: 1,
  sequence: 1,
  token: 65_536,
  noticeS: null,
  tasks: [],
  listing: null,
  same: false,
  ...fields,
});
