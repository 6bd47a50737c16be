/** Builds the parts of a shard leader and wires them together; contains no logic of its own. */
import type { Machine } from "../../cluster/machine.js";
import { ShardState } from "../../cluster/shard-state.js";
import type { MachineType } from "../../protocol/cloud.js";
import { allocateConnections } from "../../settings/connections.js";
import type { Micros } from "../../transport/clock.js";
import { Autoscaler } from "../autoscaling/autoscaler.js";
import type { CloudClient } from "../autoscaling/cloud-client.js";
import type { Services, ShardContext, ShardLease } from "../context.js";
import type { Extension } from "../extension.js";
import { DependencyTracker } from "../jobs/dependency-tracker.js";
import { JobWatcher } from "../jobs/job-watcher.js";
import { TaskStateWriter } from "../jobs/task-state-writer.js";
import { BackpressureSignal } from "../overload/backpressure-signal.js";
import { Scheduler } from "../scheduling/scheduler.js";
import { AnsweredStarts } from "../workers/answered-starts.js";
import { CommandDispatcher } from "../workers/command-dispatcher.js";
import { ConcurrencyPools } from "../workers/concurrency-pools.js";
import { FailureDetector } from "../workers/failure-detector.js";
import { HeartbeatProcessor } from "../workers/heartbeat-processor.js";
import { LongPolls } from "../workers/long-polls.js";
import { StatusQueryQueue } from "../workers/status-query-queue.js";
import { UnreachableZones } from "../workers/unreachable-zones.js";
import { WorkerLeaseExpiry } from "../workers/worker-lease-expiry.js";
import { createFailureGuard, type FailureGuard } from "./failure-guard.js";
import { HeartbeatResponder } from "./heartbeat-responder.js";
import { LeaderChecks } from "./leader-checks.js";
import type { LeaderState } from "./leader-state.js";
import { MachineTypeRefresher } from "./machine-type-refresher.js";
import { MIN_ROUND_INTERVAL, RoundTimer } from "./round-timer.js";

/** Concurrent command requests to machines with recent heartbeats, and to those without. */
const RESPONSIVE_POOL_SIZE = 96;
const SILENT_POOL_SIZE = 16;
/** Upper bound of a task's bytes in a range's value: attempt, machine name and punctuation. */
const BYTES_PER_TASK = 48;
const MAX_TASKS_PER_RANGE = 128;
const NO_DELAY = 0 as Micros;

/** Calls by which a shard leader gives up its shard. */
export interface LeaderEvents {
  /** Another controller leads the shard, or may lead it. */
  onFenced(): void;
  /** The state in memory is wrong: the shard must be acquired again under a new epoch. */
  onInconsistent(): void;
  /** This controller reaches no workers: another one should lead. */
  onUnreachable(): Promise<void>;
}

/** The shard to be led, and the collaborators from outside it. */
export interface ShardLeaderOptions {
  readonly services: Services;
  readonly lease: ShardLease;
  readonly cloud: CloudClient;
  /** Shared by the whole controller; replaced in place by refreshes. */
  readonly machineTypes: Map<string, MachineType>;
  readonly events: LeaderEvents;
  /** Null: disabled. */
  readonly extension: Extension | null;
}

/** The parts of a shard leader. */
export interface ShardCollaborators {
  readonly context: ShardContext;
  readonly scheduler: Scheduler;
  readonly autoscaler: Autoscaler;
  readonly failureDetector: FailureDetector;
  readonly jobWatcher: JobWatcher;
  readonly dependencyTracker: DependencyTracker;
  readonly roundTimer: RoundTimer;
  readonly heartbeatResponder: HeartbeatResponder;
  readonly longPolls: LongPolls;
  readonly checks: LeaderChecks;
}

/** Parts that others call through the context; first accessed once all are built. */
interface ContextTargets {
  readonly taskStates: TaskStateWriter;
  readonly commandPools: ConcurrencyPools<Machine>;
  readonly statusQueries: StatusQueryQueue;
  readonly unreachableZones: UnreachableZones;
  readonly dependencyTracker: DependencyTracker;
  readonly roundTimer: RoundTimer;
}

/** Builds the parts of a leader, none of them started. */
export const buildShardCollaborators = (options: ShardLeaderOptions, state: LeaderState): ShardCollaborators => {
  const { services, lease, cloud, machineTypes, extension } = options;
  const guard = createFailureGuard(services.log);
  const roundTimer = new RoundTimer(services, () => scheduler.runRound());
  const context = createContext(options, state, () => targets);
  const taskStates = new TaskStateWriter(context);
  const heartbeats = new HeartbeatProcessor(context, taskStates);
  const { longPolls: waiting } = allocateConnections(services.settings.quota.maxConnections);
  const longPolls = new LongPolls(services.clock, waiting);
  const commands = new CommandDispatcher(context, heartbeats, longPolls);
  const scheduler = new Scheduler(context, taskStates);
  const autoscaler = new Autoscaler(context, cloud, scheduler, heartbeats);
  const commandPools = createCommandPools(context, commands, state, guard);
  const unreachableZones = new UnreachableZones(services, lease, () => context.shard.machines.values());
  autoscaler.unreachableZones = unreachableZones.inheritedZones;
  const failureDetector = new FailureDetector({
    context,
    commands,
    autoscaler,
    unreachableZones,
    guard,
    onUnreachable: () => options.events.onUnreachable(),
  });
  const workerLeaseExpiry = new WorkerLeaseExpiry({ context, heartbeats, unreachableZones });
  const statusQueries = new StatusQueryQueue({
    loadShedder: services.loadShedder,
    lease,
    commands,
    guard,
    stopped: () => state.stopped,
    onMoreQueued: () => failureDetector.extendSettling(),
  });
  const backpressure = new BackpressureSignal(services, lease, guard);
  const answeredStarts = new AnsweredStarts(services, lease, context.shard, guard);
  const dependencyTracker = new DependencyTracker(context, (job) => autoscaler.recordDemand(job.spec));
  const jobWatcher = new JobWatcher({
    context,
    dependencyTracker,
    taskStates,
    heartbeats,
    answeredStarts,
    extension,
    scheduleRound: () => roundTimer.schedule(NO_DELAY),
  });
  const targets = { taskStates, commandPools, statusQueries, unreachableZones, dependencyTracker, roundTimer };
  const machineTypeRefresher = new MachineTypeRefresher({ context, cloud, machineTypes, guard });
  const checkCollaborators = {
    failureDetector,
    workerLeaseExpiry,
    commands,
    machineTypeRefresher,
    backpressure,
    scheduler,
    heartbeats,
    taskStates,
  };
  const checks = new LeaderChecks({ context, answeredStarts, ...checkCollaborators });
  const responderCollaborators = { heartbeats, commands, longPolls, unreachableZones, machineTypes };
  const heartbeatResponder = new HeartbeatResponder({ context, state, ...responderCollaborators });
  const entryPoints = { jobWatcher, dependencyTracker, roundTimer, heartbeatResponder, longPolls, checks };
  return { context, scheduler, autoscaler, failureDetector, ...entryPoints };
};

const createShardState = ({ services, machineTypes }: ShardLeaderOptions): ShardState => {
  const { clock, settings, maxTasks } = services;
  const fittingTasks = Math.floor(settings.store.currentValueBytes / BYTES_PER_TASK);
  const tasksPerRange = Math.max(1, Math.min(MAX_TASKS_PER_RANGE, fittingTasks));
  return new ShardState(clock, tasksPerRange, settings.teams, () => machineTypes, maxTasks);
};

const createContext = (
  options: ShardLeaderOptions,
  state: LeaderState,
  targets: () => ContextTargets,
): ShardContext => ({
  ...options.services,
  shard: createShardState(options),
  lease: options.lease,
  onFenced: () => {
    if (!state.stopped) options.events.onFenced();
  },
  onInconsistent: () => {
    if (!state.stopped) options.events.onInconsistent();
  },
  scheduleRound: () => targets().roundTimer.schedule(MIN_ROUND_INTERVAL),
  scheduleCommands: (machine) => targets().commandPools.add(machine),
  queryStatus: (machine) => targets().statusQueries.enqueue(machine),
  announceFencingToken: (machine) => targets().statusQueries.announceFencingToken(machine),
  mayStartTasks: (machine) => targets().unreachableZones.mayRespond(machine.zone),
  onJobEnded: (job, end) => {
    const { taskStates, dependencyTracker } = targets();
    taskStates.deleteKeys(dependencyTracker.dependencyListKeys(job));
    dependencyTracker.jobEnded(job, end);
    state.extension?.onJobEnded(job.spec, end);
  },
  onTaskFailed: (task, reason) => state.extension?.onTaskFailed(task.job.spec, task.index, reason),
});

/** A silent machine occupies a slot for seconds until it times out: a silent zone must not delay commands elsewhere. */
const createCommandPools = (
  { clock, settings, options }: ShardContext,
  commands: CommandDispatcher,
  state: Readonly<LeaderState>,
  guard: FailureGuard,
): ConcurrencyPools<Machine> => {
  const silenceThreshold = settings.workers.heartbeatInterval * options.silentReports;
  return new ConcurrencyPools(
    clock,
    (machine) => guard(state.stopped ? Promise.resolve() : commands.send(machine)),
    (machine) => (clock.now() - machine.reachability.lastHeartbeatAt > silenceThreshold ? "silent" : "responsive"),
    { responsive: RESPONSIVE_POOL_SIZE, silent: SILENT_POOL_SIZE },
  );
};
