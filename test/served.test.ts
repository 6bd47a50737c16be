import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job } from "../src/cluster/job.js";
import { createMachine } from "../src/cluster/machine.js";
import { ShardState } from "../src/cluster/shard-state.js";
import { attemptOf, type Task } from "../src/cluster/task.js";
import { decideRound, newRoundState } from "../src/coordination/scheduling/placement-round.js";
import { applyAction } from "../src/coordination/scheduling/round-action.js";
import { HostClock, World } from "../src/model/index.js";
import { decodeSubmission } from "../src/protocol/job-messages.js";
import { DEFAULT_OPTIONS } from "../src/settings/options.js";
import { parseSettings } from "../src/settings/parse-settings.js";
import { type Micros, seconds } from "../src/transport/clock.js";
import { bigType, settingsText } from "./fixtures.js";
import { Random } from "./random.js";
import { plainJob } from "./sim/cluster.js";

const TYPE = bigType(["east"]);
const TOKEN = 65_536;
const STEP = 500_000;

type Fields = Parameters<typeof plainJob>[1] & { readonly runS: number };

/** Jobs that come at given times to a fixed number of full machines; everything placed runs its time and is done. */
class Floor {
  readonly world = new World();
  readonly clock = new HostClock(this.world, 1, 0);
  readonly settings = parseSettings(settingsText(0));
  readonly block = new ShardState(this.clock, 128, this.settings.teams, () => new Map([[TYPE.name, TYPE]]));
  readonly all: { readonly job: Job; readonly runUs: number; readonly at: number }[] = [];
  private readonly firstPlaced = new Map<Job, number>();
  readonly memory = newRoundState();
  stops = 0;

  constructor(machines: number) {
    this.world.now = 1_000_000_000;
    for (let at = 0; at < machines; at += 1) {
      const machine = createMachine(
        { name: `n-${at}`, typeName: "big", type: TYPE, zone: "east", spot: false },
        this.clock.now(),
      );
      machine.state = "up";
      Object.assign(machine.counters, { incarnation: 1, highestToken: TOKEN });
      this.block.machines.set(machine.name, machine);
    }
  }

  add({ runS, ...fields }: Fields): void {
    const spec = decodeSubmission(
      plainJob(`wk-${String(this.all.length).padStart(6, "0")}`, { guessS: runS, ...fields }),
    );
    this.all.push({
      job: this.block.addJob(spec, this.all.length + 1, false),
      runUs: runS * 1_000_000,
      at: this.world.now,
    });
  }

  private end(task: Task): void {
    task.desired = { kind: "done" };
    this.block.releaseTask(task);
    task.job.completedTasks += 1;
    if (task.job.completedTasks === task.job.spec.tasks) this.block.jobs.delete(task.job.spec.id);
  }

  step(): void {
    this.world.now += STEP;
    const now = this.clock.now();
    for (const machine of this.block.machines.values()) machine.reachability.lastHeartbeatAt = now;
    for (const { job, runUs } of this.all) {
      for (const task of [...job.placedTasks]) {
        if (task.stopRequest !== null) {
          this.stops += 1;
          task.desired = { kind: "waiting", attempt: attemptOf(task.desired) };
          this.block.releaseTask(task);
        } else if (task.runningSince === null) {
          Object.assign(task, { startCommand: { kind: "observed" }, state: "running", runningSince: now });
        } else if (now - task.runningSince >= runUs) this.end(task);
      }
    }
    const picture = {
      now,
      shard: this.block,
      settings: this.settings,
      options: DEFAULT_OPTIONS,
      heartbeatTimeout: seconds(5),
      maxPreemptionSearches: 24,
      recordBudget: { urgent: Number.POSITIVE_INFINITY, normal: Number.POSITIVE_INFINITY },
      guaranteesOvercommitted: false,
      firstFencingToken: TOKEN,
      inspection: { count: 0 },
    };
    for (const action of decideRound(picture, this.memory)) {
      applyAction(this.block, action);
      if (action.kind === "place" && !this.firstPlaced.has(action.task.job)) {
        this.firstPlaced.set(action.task.job, this.world.now);
      }
    }
  }

  longestWait(jobClass: string): number {
    const waits = this.all.flatMap(({ job, at }) => {
      return job.spec.jobClass === jobClass ? [(this.firstPlaced.get(job) ?? this.world.now) - at] : [];
    });
    return Math.max(...waits);
  }

  /** By class: the share of jobs of which at least one task was placed, and of those that are done. */
  served(jobClass: string): { readonly begun: number; readonly done: number; readonly jobs: number } {
    const own = this.all.filter(({ job }) => job.spec.jobClass === jobClass);
    const share = (is: (job: Job) => boolean): number => own.filter(({ job }) => is(job)).length / own.length;
    return {
      jobs: own.length,
      begun: share(({ started }) => started),
      done: share((job) => job.completedTasks === job.spec.tasks),
    };
  }
}

/** Four machines of 16 CPUs that more and more work of the upper rank would fill for good. */
const beside = (low: (floor: Floor, second: number, random: Random) => void, seconds_ = 400): Floor => {
  const floor = new Floor(4);
  const random = new Random(5);
  for (let half = 0; half < seconds_ * 2; half += 1) {
    // A tenth more than the machines can carry: 0.9 jobs a second of 4 tasks, 2 CPUs and 10 s each.
    if (random.chance(0.45)) floor.add({ jobclass: "house", rank: "high", shards: 4, cpus: 2, runS: 10 });
    if (half % 2 === 0) low(floor, half / 2, random);
    floor.step();
  }
  return floor;
};

test("a low rank beside more work of a higher one than there is room for is served all the same", () => {
  const floor = beside((on, second) => {
    if (second % 20 === 0)
      on.add({ jobclass: "idle", owner: "capped", rank: "best_effort", shards: 2, cpus: 1, runS: 15 });
  });
  const idle = floor.served("idle");
  // Strictly by rank, one of them was begun: the first.
  assert.ok(idle.begun >= 0.5 && idle.done >= 0.5, JSON.stringify(idle));
  const house = floor.served("house");
  assert.ok(house.done > 0.8, JSON.stringify(house));
});

test("a team with ten tasks is served beside one with a hundred thousand", () => {
  const floor = new Floor(4);
  floor.add({ jobclass: "giant", owner: "open", rank: "high", shards: 100_000, cpus: 2, runS: 20 });
  for (let at = 0; at < 10; at += 1) floor.step();
  for (let at = 0; at < 10; at += 1) {
    floor.add({ jobclass: "few", owner: "capped", rank: "normal", shards: 1, cpus: 1, runS: 20 });
  }
  for (let at = 0; at < 400; at += 1) floor.step();
  const few = floor.served("few");
  assert.ok(few.done >= 0.5, JSON.stringify(few));
});

test("a swarm of a guest's does not take more than its share from the house, and is served", () => {
  const without = beside(() => undefined).served("house");
  const floor = beside((on, second) => {
    for (let at = 0; at < 5; at += 1) {
      if (second < 100)
        on.add({ jobclass: "swarm", owner: "capped", rank: "best_effort", shards: 1, cpus: 0.25, runS: 30 });
    }
  }, 500);
  const swarm = floor.served("swarm");
  assert.ok(swarm.begun >= 0.5, JSON.stringify(swarm));
  const house = floor.served("house");
  assert.ok(house.begun > without.begun - 0.15, `${JSON.stringify(house)} against ${JSON.stringify(without)}`);
});

test("what goes first takes no more than a tenth of the room, and is not stopped for a higher rank", () => {
  const floor = new Floor(4);
  floor.add({ jobclass: "house", rank: "high", shards: 32, cpus: 2, runS: 30 });
  floor.step();
  floor.add({ jobclass: "idle", rank: "best_effort", shards: 50, cpus: 1, runS: 500 });
  let most = 0;
  for (let at = 0; at < 400; at += 1) {
    if (at % 6 === 0) floor.add({ jobclass: "house", rank: "high", shards: 4, cpus: 2, runS: 30 });
    floor.step();
    const idle = floor.all.find(({ job }) => job.spec.jobClass === "idle")?.job;
    most = Math.max(most, idle?.placedTasks.size ?? 0);
  }
  const idle = floor.all.find(({ job }) => job.spec.jobClass === "idle")?.job;
  assert.equal(idle?.boosted, true);
  // 64 CPUs in all.
  assert.ok(most >= 1 && most <= 6, `${most} CPUs`);
  assert.equal(floor.stops, 0);
});

test("where everybody is served, nobody goes first", () => {
  const floor = new Floor(4);
  for (let at = 0; at < 200; at += 1) {
    if (at % 10 === 0) floor.add({ jobclass: "house", rank: "high", shards: 2, cpus: 2, runS: 10 });
    if (at % 15 === 0) floor.add({ jobclass: "idle", rank: "best_effort", shards: 2, cpus: 2, runS: 10 });
    floor.step();
  }
  assert.ok(floor.all.every(({ job }) => !job.boosted));
  assert.equal(floor.served("idle").begun, 1);
});

/** The longest that a job of the class waited for its first task, in seconds; the whole time where one never began. */
const longestWait = (floor: Floor, jobClass: string): number => floor.longestWait(jobClass) / 1_000_000;

test("a task that needs a whole machine begins beside a stream of small ones of a higher rank", () => {
  const floor = beside((on, second) => {
    if (second === 20) on.add({ jobclass: "whole", rank: "normal", shards: 1, cpus: 16, runS: 20 });
  }, 300);
  assert.ok(longestWait(floor, "whole") < 180, `${longestWait(floor, "whole")} s`);
  // Kept room is lost room: it must not be much.
  const without = beside(() => undefined, 300).served("house").done;
  assert.ok(floor.served("house").done > without - 0.1, `${floor.served("house").done} against ${without}`);
});

test("a large task of a capped team is not passed for ever by small ones that use up the limit", () => {
  const floor = new Floor(8);
  for (let half = 0; half < 600; half += 1) {
    if (half % 2 === 0) floor.add({ jobclass: "few", owner: "capped", rank: "high", shards: 2, cpus: 1, runS: 12 });
    if (half === 40) floor.add({ jobclass: "large", owner: "capped", rank: "high", shards: 3, cpus: 12, runS: 20 });
    floor.step();
  }
  assert.ok(longestWait(floor, "large") < 180, `${longestWait(floor, "large")} s`);
  assert.ok(floor.served("few").begun > 0.4);
});

test("a gang that needs half of all machines begins beside a stream of small tasks", () => {
  const floor = beside((on, second) => {
    if (second === 20) on.add({ jobclass: "gang", rank: "normal", shape: "ensemble", shards: 4, cpus: 8, runS: 20 });
  }, 300);
  assert.ok(longestWait(floor, "gang") < 200, `${longestWait(floor, "gang")} s`);
});

test("room kept for a job is not taken for full because another that may not fill it has looked before", () => {
  const floor = new Floor(1);
  floor.add({ runS: 60, cpus: 8, shards: 1, rank: "prod" });
  floor.add({ runS: 60, cpus: 8, shards: 1, rank: "best_effort" });
  const [first, second] = floor.all;
  const [machine] = floor.block.machines.values();
  assert.ok(first !== undefined && second !== undefined && machine !== undefined);
  const now = floor.clock.now();
  floor.memory.reservation = {
    job: second.job,
    machines: new Map([[machine, now]]),
    until: (now + seconds(30)) as Micros,
  };
  // The first one, of a higher rank, finds all room kept. The second took that for its own and left it empty for as long.
  floor.step();
  assert.deepEqual([first.job.placedTasks.size, second.job.placedTasks.size], [0, 1]);
});
