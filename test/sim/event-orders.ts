/** Runs every order of events of one worker, one task and its successive leaders through the production code. */
import type { Machine } from "../../src/cluster/machine.js";
import type { ShardState } from "../../src/cluster/shard-state.js";
import type { Task } from "../../src/cluster/task.js";
import type { ShardContext } from "../../src/coordination/context.js";
import { firstFencingToken, responseTokenOf } from "../../src/coordination/fencing-token.js";
import { isStartAnswered } from "../../src/coordination/workers/answered-starts.js";
import { CommandDispatcher } from "../../src/coordination/workers/command-dispatcher.js";
import { type HeartbeatFreshness, mayBeOvertaken } from "../../src/coordination/workers/heartbeat-freshness.js";
import { HeartbeatProcessor } from "../../src/coordination/workers/heartbeat-processor.js";
import { json } from "../../src/model/index.js";
import type { Heartbeat } from "../../src/protocol/worker.js";
import type { Micros } from "../../src/transport/clock.js";
import type { HttpOutcome } from "../../src/transport/http.js";
import { makeShard, placeTask } from "../shard-fixtures.js";
import { DirectStartDispatcher } from "./direct-start-dispatcher.js";
import { type CommandRequest, encodeStatus, WorkerModel } from "./worker-model.js";

const HEARTBEAT = { kind: "heartbeat" } as const;
/** From one event to the next, in microseconds. */
const STEP_TIME = 2_000_000;
/** Heartbeats after which an undisturbed leader knows of every start whether it was executed. */
const SETTLING_ROUNDS = 6;

/** Resets the machine to its state at a new leader, which has only its name. */
export const resetToUnknown = (machine: Machine): void => {
  machine.state = "booting";
  Object.assign(machine.counters, { incarnation: null, highestToken: 0, verified: false });
};

export const ACTIONS = [
  "heartbeat",
  "heartbeat, response lost",
  "oldest copy",
  "latest copy",
  "status query",
  "command",
  "command, reply lost",
  "command delayed",
  "delayed command delivered",
  "command repeated",
  "stop requested",
  "incarnation changes",
  "counters reset",
  "failover",
] as const;
export type Action = (typeof ACTIONS)[number];

/** Which starts may be delivered after a counter reset that followed the release of their task. */
export interface LateStarts {
  /** Those of an earlier leader without a response. */
  readonly inherited: boolean;
  /** Copies of those that were executed and answered. */
  readonly answered: boolean;
}

/** The record of answered starts at a failover: always up to date, or none (after a leader of an older version). */
export type AnsweredStartsOnRecord = "up to date" | "none";

/** What becomes of a command request and of the reply to it. */
type RequestOutcome = "ok" | "reply lost" | "delayed";

/** What becomes of a response to a heartbeat; `none`: nobody waits for it, as the heartbeat is a copy. */
type ResponseFate = "delivered" | "lost" | "none";

/** Which leaders start tasks by direct commands, as those of the previous version do. */
export type DirectStarts = "none" | "first leader" | "all leaders";

export type HeartbeatWrapper = (
  heartbeats: HeartbeatProcessor,
  machine: Machine,
  shard: ShardState,
) => HeartbeatProcessor;

/** Runs one order of events through the production code for heartbeats, task lists and commands. */
export class Scenario {
  /** What each action does; one table for all scenarios, of which explorations create hundreds of thousands. */
  private static readonly HANDLERS: Readonly<Record<Action, (scenario: Scenario) => void | Promise<void>>> = {
    heartbeat: (scenario) => scenario.sendHeartbeat("delivered"),
    "heartbeat, response lost": (scenario) => scenario.sendHeartbeat("lost"),
    "oldest copy": (scenario) => scenario.deliverCopy(scenario.sentHeartbeats[0]),
    "latest copy": (scenario) => scenario.deliverCopy(scenario.sentHeartbeats.at(-1)),
    "status query": (scenario) => scenario.queryStatus(),
    command: (scenario) => scenario.sendCommand("ok"),
    "command, reply lost": (scenario) => scenario.sendCommand("reply lost"),
    "command delayed": (scenario) => scenario.sendCommand("delayed"),
    "delayed command delivered": (scenario) => scenario.deliverDelayedCommand(),
    "command repeated": (scenario) => scenario.repeatCommand(),
    "stop requested": (scenario) => scenario.requestStop(),
    "incarnation changes": (scenario) => scenario.changeIncarnation(),
    "counters reset": (scenario) => scenario.resetCounters(),
    failover: (scenario) => scenario.failOver(),
  };

  readonly worker = new WorkerModel();
  private readonly sentHeartbeats: Heartbeat[] = [];
  private readonly delayedRequests: CommandRequest[] = [];
  private lastExecutedRequest: CommandRequest | null = null;
  private epoch = 0;
  private requestOutcome: RequestOutcome = "ok";
  private now = 0;
  private context!: ShardContext;
  private machine!: Machine;
  private task!: Task;
  private heartbeats!: HeartbeatProcessor;
  private commands!: CommandDispatcher;
  private released = false;
  private answeredOnRecord = false;

  constructor(
    private readonly wrapHeartbeats: HeartbeatWrapper = (heartbeats) => heartbeats,
    private readonly lateStarts: LateStarts = { inherited: true, answered: false },
    private readonly onRecord: AnsweredStartsOnRecord = "up to date",
    private readonly directStarts: DirectStarts = "none",
    private readonly beforeForget: (dispatcher: DirectStartDispatcher, machine: Machine) => void = () => undefined,
  ) {
    this.startLeader(null);
  }

  private startLeader(startCommand: Task["startCommand"] | null): void {
    this.epoch += 1;
    const { shard, context, taskStates, world } = makeShard(1);
    world.now = this.now;
    const lease = { ...context.lease, epoch: this.epoch };
    Object.assign(context, {
      lease,
      clock: { ...context.clock, now: () => this.now as Micros, after: () => ({ cancel: () => undefined }) },
      http: { call: async (_: string, { target, body }: { target: string; body: string }) => this.call(target, body) },
      announceFencingToken: () => undefined,
    });
    this.context = context;
    this.machine = [...shard.machines.values()][0] as Machine;
    resetToUnknown(this.machine);
    this.task = placeTask(shard, this.machine);
    this.task.startCommand = startCommand ?? { kind: "none" };
    // According to the records it has been placed elsewhere since.
    if (this.released) shard.releaseTask(this.task);
    this.heartbeats = this.wrapHeartbeats(new HeartbeatProcessor(context, taskStates), this.machine, shard);
    this.commands = this.createDispatcher(shard);
  }

  private createDispatcher(shard: ShardState): CommandDispatcher {
    const startsDirectly = this.directStarts === "all leaders" || (this.directStarts !== "none" && this.epoch === 1);
    if (!startsDirectly) return new CommandDispatcher(this.context, this.heartbeats, { end: () => false });
    if (this.task.machine !== null) shard.unconfirmedStarts.add(this.task);
    return new DirectStartDispatcher(this.context, this.heartbeats);
  }

  private call(target: string, body: string): HttpOutcome {
    if (target === "/status") return this.answer(200);
    const { baton, tenure, orders } = JSON.parse(body) as {
      baton: number;
      tenure: number;
      orders: { verb: string; shard: string }[];
    };
    const request = { token: baton, incarnation: tenure, commands: orders };
    if (this.requestOutcome === "delayed") {
      this.delayedRequests.push(request);
      return { kind: "lost" };
    }
    const done = this.worker.execute(request);
    if (done && orders.some(({ verb }) => verb === "launch")) this.lastExecutedRequest = request;
    return this.requestOutcome === "reply lost" ? { kind: "lost" } : this.answer(done ? 200 : 409);
  }

  private answer(status: number): HttpOutcome {
    return { kind: "answer", retryAfterS: null, ...json(status, {}), body: encodeStatus(this.worker.report()) };
  }

  /** `fate`: what becomes of the response. The leader builds it even if it is lost, and then counts starts as sent. */
  private deliverHeartbeat(heartbeat: Heartbeat, fate: ResponseFate): void {
    const overtaken = mayBeOvertaken(this.machine.counters, this.machine.lease.expired, heartbeat);
    const freshness = this.heartbeats.process(this.machine, heartbeat, HEARTBEAT);
    if (fate === "none" || (freshness === "suspect" && !overtaken)) return;
    const response = this.buildResponse(heartbeat, freshness);
    if (fate === "delivered") this.worker.execute(response);
  }

  /** The response as the leader builds it: repeatable commands, forget commands and starts, under one token. */
  private buildResponse(heartbeat: Heartbeat, freshness: HeartbeatFreshness): CommandRequest {
    const trusted =
      this.machine.counters.highestToken >= firstFencingToken(this.context.lease) && freshness !== "unverified";
    if (this.commands instanceof DirectStartDispatcher) this.beforeForget(this.commands, this.machine);
    const own = trusted
      ? [...this.commands.repeatableCommands(this.machine), ...this.commands.forgetCommands(this.machine)]
      : [];
    // As in the leader, starts only in the response to a heartbeat that shows the leader's own token.
    const starts = freshness === "fenced" ? this.commands.startsForResponse(this.machine) : [];
    const verbs = { start: "launch", stop: "halt", forget: "forget" } as const;
    return {
      token: responseTokenOf(this.context.lease, this.machine),
      incarnation: Number(heartbeat.incarnation),
      commands: [...own, ...starts].map(({ op, task }) => ({ verb: verbs[op], shard: task })),
    };
  }

  /**
   * Has the task's start revoked by `revoke`, then delivers all messages for a few heartbeats. Returns null if it is
   * known by then whether the worker has executed the start; else a description of the task.
   */
  async settle(revoke: (task: Task, machine: Machine) => void): Promise<string | null> {
    revoke(this.task, this.machine);
    const { job, startCommand: startBefore } = this.task;
    // As the job watcher does at a cancellation.
    if (job.cancelled && startBefore.kind === "none") this.heartbeats.releaseAbsentTask(this.task);
    this.requestOutcome = "ok";
    for (let round = 0; round < SETTLING_ROUNDS; round += 1) {
      await this.step("heartbeat");
      this.commands.applyEvictions(this.machine);
      await this.commands.send(this.machine);
      await this.step("status query");
    }
    const { startCommand, machine } = this.task;
    if (startCommand.kind === "uncertain") return `start still uncertain: ${JSON.stringify(startCommand)}`;
    const isHeld = this.task.unansweredStartAt !== null;
    return machine === null || isHeld || this.worker.isRunning ? null : "neither released nor running";
  }

  async step(action: Action): Promise<void> {
    this.now += STEP_TIME;
    const done = Scenario.HANDLERS[action](this);
    if (done !== undefined) await done;
    this.recordAnsweredStart();
    this.recordRelease();
    // Once released it is started elsewhere: from then on it must not run here, whatever is still delivered.
    if (this.released && this.worker.isRunning) throw new Error("runs on a machine that it was released from");
  }

  private sendHeartbeat(fate: ResponseFate): void {
    const heartbeat = this.worker.report();
    this.sentHeartbeats.push(heartbeat);
    this.deliverHeartbeat(heartbeat, fate);
  }

  private deliverCopy(heartbeat: Heartbeat | undefined): void {
    if (heartbeat !== undefined) this.deliverHeartbeat(heartbeat, "none");
  }

  private queryStatus(): Promise<void> {
    this.requestOutcome = "ok";
    return this.commands.queryStatus(this.machine);
  }

  private sendCommand(outcome: RequestOutcome): Promise<void> {
    this.requestOutcome = outcome;
    return this.commands.send(this.machine, true);
  }

  private deliverDelayedCommand(): void {
    const request = this.delayedRequests.shift();
    if (request !== undefined) this.worker.execute(request);
  }

  private repeatCommand(): void {
    if (this.lastExecutedRequest !== null) this.worker.execute(this.lastExecutedRequest);
  }

  private changeIncarnation(): void {
    this.worker.incarnation += 1;
    this.worker.attempts.clear();
  }

  private requestStop(): void {
    if (this.task.machine !== null) this.task.stopRequest = { graceS: 0 };
  }

  /**
   * A task released earlier cannot be fenced against a later counter reset (docs/heartbeat-evidence.md). A start without
   * a response prevents the release of its task, whichever leader sent it. Copies of answered starts are assumed not to
   * be delivered any more; tests with `LateStarts.answered` drop this assumption.
   */
  private resetCounters(): void {
    Object.assign(this.worker, { incarnation: 1, sequence: 0, token: 0 });
    this.worker.attempts.clear();
    if (this.released && this.epoch > 1 && !this.lateStarts.inherited) this.delayedRequests.length = 0;
    if (this.released && !this.lateStarts.answered) this.lastExecutedRequest = null;
  }

  private failOver(): void {
    this.startLeader({ kind: "uncertain", token: firstFencingToken(this.context.lease) + 65_535 });
    if (this.answeredOnRecord) this.context.shard.markStartsAnswered(this.task);
  }

  private recordAnsweredStart(): void {
    if (this.onRecord !== "up to date" || !isStartAnswered(this.task, this.now as Micros)) return;
    this.context.shard.markStartsAnswered(this.task);
    this.answeredOnRecord = true;
  }

  /** The release is recorded before the task is started elsewhere. */
  private recordRelease(): void {
    if (this.task.machine !== null || this.task.earliestStart > this.now) return;
    this.released = true;
    this.task.recorded = this.task.desired;
  }
}

/** Faults need a start command that has been sent: every order begins with one of these ways to send it. */
export const PREFIXES: readonly (readonly Action[])[] = [
  ["heartbeat", "heartbeat", "command"],
  ["heartbeat", "heartbeat", "command, reply lost"],
  ["heartbeat", "heartbeat", "command delayed"],
  ["heartbeat", "heartbeat", "incarnation changes", "heartbeat", "command"],
  ["heartbeat", "heartbeat", "command", "heartbeat", "stop requested", "heartbeat", "heartbeat"],
  ["heartbeat", "heartbeat", "command", "counters reset", "heartbeat", "heartbeat"],
  ["heartbeat", "heartbeat", "command delayed", "heartbeat", "command", "stop requested", "heartbeat"],
  ["heartbeat", "heartbeat", "command delayed", "incarnation changes", "heartbeat", "heartbeat"],
  ["heartbeat", "heartbeat, response lost"],
];

export const runOrder = async (scenario: Scenario, order: readonly Action[]): Promise<string | null> => {
  for (const [at, action] of order.entries()) {
    try {
      await scenario.step(action);
    } catch (error) {
      return `${order.slice(0, at + 1).join(", ")}: ${(error as Error).message}`;
    }
  }
  return null;
};

/** Runs every order of `eventCount` events after each of the prefixes and then `finish`, up to the first fault. */
export const explore = async (
  eventCount: number,
  createScenario: () => Scenario,
  finish: (scenario: Scenario) => Promise<string | null> = async () => null,
): Promise<{ runs: number; fault: string | null }> => {
  let runs = 0;
  const visit = async (path: readonly Action[], left: number): Promise<string | null> => {
    if (left > 0) {
      for (const action of ACTIONS) {
        const fault = await visit([...path, action], left - 1);
        if (fault !== null) return fault;
      }
      return null;
    }
    runs += 1;
    const scenario = createScenario();
    const orderFault = await runOrder(scenario, path);
    if (orderFault !== null) return orderFault;
    const finalFault = await finish(scenario);
    return finalFault === null ? null : `${path.join(", ")}: ${finalFault}`;
  };
  let fault: string | null = null;
  for (const path of PREFIXES) fault ??= await visit(path, eventCount);
  return { runs, fault };
};
