/** Fixture of the tests of placement rounds: a shard with idle machines of one type. */
import type { Job } from "../src/cluster/job.js";
import { createMachine, type Machine } from "../src/cluster/machine.js";
import { ShardState } from "../src/cluster/shard-state.js";
import { decideRound, newRoundState } from "../src/coordination/scheduling/placement-round.js";
import type { RoundAction } from "../src/coordination/scheduling/round-action.js";
import type { SchedulerSnapshot } from "../src/coordination/scheduling/scheduler-snapshot.js";
import { HostClock, Simulation } from "../src/model/index.js";
import { decodeSubmission } from "../src/protocol/job-messages.js";
import { DEFAULT_OPTIONS } from "../src/settings/options.js";
import { parseSettings } from "../src/settings/parse-settings.js";
import { seconds } from "../src/transport/clock.js";
import { bigType, settingsText } from "./fixtures.js";
import { plainJob } from "./sim/cluster.js";

/** The only machine type of these fixtures. */
export const TYPE = bigType(["east", "west"]);
/** The fencing token that all workers have reported. */
const TOKEN = 65_536;

/** A shard with idle machines of one type, and rounds whose placements take effect at once. */
export const makeSchedulingFixture = (machines: number) => {
  const world = new Simulation();
  world.now = 1_000_000_000;
  const clock = new HostClock(world, 1, 0);
  const settings = parseSettings(settingsText(0));
  const shard = new ShardState(clock, 128, settings.teams, () => new Map([[TYPE.name, TYPE]]));
  for (let index = 0; index < machines; index += 1) {
    const machine = createMachine(
      { name: `n-${index}`, typeName: "big", type: TYPE, zone: "east", spot: false },
      clock.now(),
    );
    machine.state = "up";
    Object.assign(machine.counters, { incarnation: 1, highestToken: TOKEN });
    shard.machines.set(machine.name, machine);
  }
  const snapshot = (): SchedulerSnapshot => ({
    now: clock.now(),
    shard,
    settings,
    options: DEFAULT_OPTIONS,
    heartbeatTimeout: seconds(5),
    maxVictimSearches: 24,
    recordBudget: { urgent: Number.POSITIVE_INFINITY, normal: Number.POSITIVE_INFINITY },
    guaranteesOvercommitted: false,
    minFencingToken: TOKEN,
    inspection: { count: 0 },
  });
  const add = (fields: Parameters<typeof plainJob>[1], ref: string): Job =>
    shard.addJob(decodeSubmission(plainJob(ref, fields)), 1, false);
  /** Runs one round; applies its placements and search delays to the shard state, but not its other actions. */
  const round = (): RoundAction[] => {
    const actions: RoundAction[] = [];
    for (const action of decideRound(snapshot(), newRoundState())) {
      actions.push(action);
      if (action.kind === "place") shard.assignTask(action.task, action.machine);
      if (action.kind === "postpone search") action.task.nextPreemptionSearch = action.notBefore;
    }
    return actions;
  };
  const markRunning = (job: Job): void => {
    for (const task of job.placedTasks)
      Object.assign(task, { startCommand: { kind: "observed" }, state: "running", runningSince: clock.now() });
  };
  const [first] = shard.machines.values();
  return { world, clock, shard, settings, snapshot, add, round, markRunning, machine: first as Machine };
};
