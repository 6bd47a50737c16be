import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job } from "../src/cluster/job.js";
import { createMachine } from "../src/cluster/machine.js";
import { ShardState } from "../src/cluster/shard-state.js";
import { attemptOf, type Task } from "../src/cluster/task.js";
import { decideRound, newRoundState } from "../src/coordination/scheduling/placement-round.js";
import { applyAction } from "../src/coordination/scheduling/round-action.js";
import { HostClock, Simulation } from "../src/model/index.js";
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

/** Jobs submitted at given times to a fixed number of machines; each placed task completes after its run time. */
class SimulatedShard {
  readonly world = new Simulation();
  readonly clock = new HostClock(this.world, 1, 0);
  readonly settings = parseSettings(settingsText(0));
  readonly shard = new ShardState(this.clock, 128, this.settings.teams, () => new Map([[TYPE.name, TYPE]]));
  readonly submissions: { readonly job: Job; readonly runUs: number; readonly submittedAt: number }[] = [];
  private readonly firstPlaced = new Map<Job, number>();
  readonly roundState = newRoundState();
  preemptions = 0;

  constructor(machines: number) {
    this.world.now = 1_000_000_000;
    for (let index = 0; index < machines; index += 1) {
      const machine = createMachine(
        { name: `n-${index}`, typeName: "big", type: TYPE, zone: "east", spot: false },
        this.clock.now(),
      );
      machine.state = "up";
      Object.assign(machine.counters, { incarnation: 1, highestToken: TOKEN });
      this.shard.machines.set(machine.name, machine);
    }
  }

  add({ runS, ...fields }: Fields): void {
    const spec = decodeSubmission(
      plainJob(`wk-${String(this.submissions.length).padStart(6, "0")}`, { guessS: runS, ...fields }),
    );
    this.submissions.push({
      job: this.shard.addJob(spec, this.submissions.length + 1, false),
      runUs: runS * 1_000_000,
      submittedAt: this.world.now,
    });
  }

  private completeTask(task: Task): void {
    task.desired = { kind: "done" };
    this.shard.releaseTask(task);
    task.job.completedTasks += 1;
    if (task.job.completedTasks === task.job.spec.tasks) this.shard.jobs.delete(task.job.spec.id);
  }

  step(): void {
    this.world.now += STEP;
    const now = this.clock.now();
    for (const machine of this.shard.machines.values()) machine.reachability.lastHeartbeatAt = now;
    for (const { job, runUs } of this.submissions) {
      for (const task of [...job.placedTasks]) {
        if (task.stopRequest !== null) {
          this.preemptions += 1;
          task.desired = { kind: "waiting", attempt: attemptOf(task.desired) };
          this.shard.releaseTask(task);
        } else if (task.runningSince === null) {
          Object.assign(task, { startCommand: { kind: "observed" }, state: "running", runningSince: now });
        } else if (now - task.runningSince >= runUs) this.completeTask(task);
      }
    }
    const snapshot = {
      now,
      shard: this.shard,
      settings: this.settings,
      options: DEFAULT_OPTIONS,
      heartbeatTimeout: seconds(5),
      maxVictimSearches: 24,
      recordBudget: { urgent: Number.POSITIVE_INFINITY, normal: Number.POSITIVE_INFINITY },
      guaranteesOvercommitted: false,
      minFencingToken: TOKEN,
      inspection: { count: 0 },
    };
    for (const action of decideRound(snapshot, this.roundState)) {
      applyAction(this.shard, action);
      if (action.kind === "place" && !this.firstPlaced.has(action.task.job)) {
        this.firstPlaced.set(action.task.job, this.world.now);
      }
    }
  }

  longestWaitUs(jobClass: string): number {
    const waits = this.submissions.flatMap(({ job, submittedAt }) => {
      return job.spec.jobClass === jobClass ? [(this.firstPlaced.get(job) ?? this.world.now) - submittedAt] : [];
    });
    return Math.max(...waits);
  }

  /** The class's number of jobs, and the shares of them that have started and that are done. */
  startStats(jobClass: string): { readonly started: number; readonly done: number; readonly jobs: number } {
    const own = this.submissions.filter(({ job }) => job.spec.jobClass === jobClass);
    const share = (is: (job: Job) => boolean): number => own.filter(({ job }) => is(job)).length / own.length;
    return {
      jobs: own.length,
      started: share((job) => job.started),
      done: share((job) => job.completedTasks === job.spec.tasks),
    };
  }
}

/**
 * Four machines of 16 CPUs with more work of high rank than they have capacity for; `addOtherJobs` is called once a
 * second.
 */
const simulateBesideHighRank = (
  addOtherJobs: (simulation: SimulatedShard, second: number, random: Random) => void,
  durationS = 400,
): SimulatedShard => {
  const simulation = new SimulatedShard(4);
  const random = new Random(5);
  for (let halfSecond = 0; halfSecond < durationS * 2; halfSecond += 1) {
    // A tenth more than the capacity: 0.9 jobs a second of 4 tasks with 2 CPUs and 10 s each.
    if (random.chance(0.45)) simulation.add({ jobclass: "production", rank: "high", shards: 4, cpus: 2, runS: 10 });
    if (halfSecond % 2 === 0) addOtherJobs(simulation, halfSecond / 2, random);
    simulation.step();
  }
  return simulation;
};

test("jobs of a low rank start beside more work of a higher rank than there is capacity for", () => {
  const simulation = simulateBesideHighRank((simulation, second) => {
    if (second % 20 === 0)
      simulation.add({ jobclass: "idle", owner: "capped", rank: "best_effort", shards: 2, cpus: 1, runS: 15 });
  });
  const idle = simulation.startStats("idle");
  // With strict priority only the first of them started.
  assert.ok(idle.started >= 0.5 && idle.done >= 0.5, JSON.stringify(idle));
  const production = simulation.startStats("production");
  assert.ok(production.done > 0.8, JSON.stringify(production));
});

test("a team with ten tasks is not starved by a team with a hundred thousand", () => {
  const simulation = new SimulatedShard(4);
  simulation.add({ jobclass: "giant", owner: "open", rank: "high", shards: 100_000, cpus: 2, runS: 20 });
  for (let index = 0; index < 10; index += 1) simulation.step();
  for (let index = 0; index < 10; index += 1) {
    simulation.add({ jobclass: "few", owner: "capped", rank: "normal", shards: 1, cpus: 1, runS: 20 });
  }
  for (let index = 0; index < 400; index += 1) simulation.step();
  const few = simulation.startStats("few");
  assert.ok(few.done >= 0.5, JSON.stringify(few));
});

test("a burst of small low-rank jobs of another team starts, at little cost to the higher rank", () => {
  const without = simulateBesideHighRank(() => undefined).startStats("production");
  const simulation = simulateBesideHighRank((simulation, second) => {
    for (let index = 0; index < 5; index += 1) {
      if (second < 100)
        simulation.add({ jobclass: "burst", owner: "capped", rank: "best_effort", shards: 1, cpus: 0.25, runS: 30 });
    }
  }, 500);
  const burst = simulation.startStats("burst");
  assert.ok(burst.started >= 0.5, JSON.stringify(burst));
  const production = simulation.startStats("production");
  assert.ok(
    production.started > without.started - 0.15,
    `${JSON.stringify(production)} against ${JSON.stringify(without)}`,
  );
});

test("boosted jobs take no more than a tenth of the capacity, and are not preempted for a higher rank", () => {
  const simulation = new SimulatedShard(4);
  simulation.add({ jobclass: "production", rank: "high", shards: 32, cpus: 2, runS: 30 });
  simulation.step();
  simulation.add({ jobclass: "idle", rank: "best_effort", shards: 50, cpus: 1, runS: 500 });
  let maxTasks = 0;
  for (let index = 0; index < 400; index += 1) {
    if (index % 6 === 0) simulation.add({ jobclass: "production", rank: "high", shards: 4, cpus: 2, runS: 30 });
    simulation.step();
    const idle = simulation.submissions.find(({ job }) => job.spec.jobClass === "idle")?.job;
    maxTasks = Math.max(maxTasks, idle?.placedTasks.size ?? 0);
  }
  const idle = simulation.submissions.find(({ job }) => job.spec.jobClass === "idle")?.job;
  assert.equal(idle?.boosted, true);
  // 64 CPUs in all.
  assert.ok(maxTasks >= 1 && maxTasks <= 6, `${maxTasks} CPUs`);
  assert.equal(simulation.preemptions, 0);
});

test("no job is boosted while all jobs start in time", () => {
  const simulation = new SimulatedShard(4);
  for (let index = 0; index < 200; index += 1) {
    if (index % 10 === 0) simulation.add({ jobclass: "production", rank: "high", shards: 2, cpus: 2, runS: 10 });
    if (index % 15 === 0) simulation.add({ jobclass: "idle", rank: "best_effort", shards: 2, cpus: 2, runS: 10 });
    simulation.step();
  }
  assert.ok(simulation.submissions.every(({ job }) => !job.boosted));
  assert.equal(simulation.startStats("idle").started, 1);
});

/** The longest wait of a job of the class for its first placement (or until now, without one), in seconds. */
const longestWaitS = (simulation: SimulatedShard, jobClass: string): number =>
  simulation.longestWaitUs(jobClass) / 1_000_000;

test("a task that needs a whole machine starts beside a stream of small tasks of a higher rank", () => {
  const simulation = simulateBesideHighRank((simulation, second) => {
    if (second === 20) simulation.add({ jobclass: "whole", rank: "normal", shards: 1, cpus: 16, runS: 20 });
  }, 300);
  assert.ok(longestWaitS(simulation, "whole") < 180, `${longestWaitS(simulation, "whole")} s`);
  // Reserved capacity idles, so it must not cost much throughput.
  const without = simulateBesideHighRank(() => undefined, 300).startStats("production").done;
  assert.ok(
    simulation.startStats("production").done > without - 0.1,
    `${simulation.startStats("production").done} against ${without}`,
  );
});

test("a large task of a limited team is not starved by small tasks that use up the limit", () => {
  const simulation = new SimulatedShard(8);
  for (let halfSecond = 0; halfSecond < 600; halfSecond += 1) {
    if (halfSecond % 2 === 0)
      simulation.add({ jobclass: "few", owner: "capped", rank: "high", shards: 2, cpus: 1, runS: 12 });
    if (halfSecond === 40)
      simulation.add({ jobclass: "large", owner: "capped", rank: "high", shards: 3, cpus: 12, runS: 20 });
    simulation.step();
  }
  assert.ok(longestWaitS(simulation, "large") < 180, `${longestWaitS(simulation, "large")} s`);
  assert.ok(simulation.startStats("few").started > 0.4);
});

test("a gang that needs half of all machines starts beside a stream of small tasks", () => {
  const simulation = simulateBesideHighRank((simulation, second) => {
    if (second === 20)
      simulation.add({ jobclass: "gang", rank: "normal", shape: "ensemble", shards: 4, cpus: 8, runS: 20 });
  }, 300);
  assert.ok(longestWaitS(simulation, "gang") < 200, `${longestWaitS(simulation, "gang")} s`);
});

test("a failed search of a job that may not backfill does not keep the reservation's job off its machines", () => {
  const simulation = new SimulatedShard(1);
  simulation.add({ runS: 60, cpus: 8, shards: 1, rank: "prod" });
  simulation.add({ runS: 60, cpus: 8, shards: 1, rank: "best_effort" });
  const [first, second] = simulation.submissions;
  const [machine] = simulation.shard.machines.values();
  assert.ok(first !== undefined && second !== undefined && machine !== undefined);
  const now = simulation.clock.now();
  simulation.roundState.reservation = {
    job: second.job,
    machines: new Map([[machine, now]]),
    until: (now + seconds(30)) as Micros,
  };
  // The first job, of a higher rank, finds all capacity reserved. The second job, which holds the reservation, must not
  // share that result, or its machine stays idle until the reservation expires.
  simulation.step();
  assert.deepEqual([first.job.placedTasks.size, second.job.placedTasks.size], [0, 1]);
});
