/** Stand-in for the previous version's command dispatcher: during an upgrade, leaders of both versions may serve. */
import { isBeingEmptied, type Machine } from "../../src/cluster/machine.js";
import { attemptOf, isPlacementRecorded, type Task } from "../../src/cluster/task.js";
import type { ShardContext } from "../../src/coordination/context.js";
import { fencingTokenOf, firstFencingToken, responseTokenOf } from "../../src/coordination/fencing-token.js";
import { CommandDispatcher } from "../../src/coordination/workers/command-dispatcher.js";
import type { HeartbeatProcessor } from "../../src/coordination/workers/heartbeat-processor.js";
import { commandsArrive, recordResponse } from "../../src/coordination/workers/reachability.js";
import { formatJson, parseJson } from "../../src/protocol/json.js";
import { type Command, decodeHeartbeat, encodeCommandRequest } from "../../src/protocol/worker.js";
import { type Micros, ms, seconds } from "../../src/transport/clock.js";
import { WORKER_REQUEST_TIMEOUT } from "../../src/transport/timeouts.js";

const RETRY_DELAY = ms(500);
const FORGET_INTERVAL = seconds(20);
const NO_LONG_POLLS = { end: () => false };

const startCommandOf = (task: Task): Command => ({ op: "start", task: task.name, attempt: attemptOf(task.desired) });

/** Starts tasks by direct commands, and forgets ended attempts only under a token above that of every start. */
export class DirectStartDispatcher extends CommandDispatcher {
  private readonly startSequences = new Map<Machine, number>();
  private readonly forgottenAt = new Map<Machine, Micros>();

  constructor(
    private readonly shardContext: ShardContext,
    private readonly processor: HeartbeatProcessor,
  ) {
    super(shardContext, processor, NO_LONG_POLLS);
  }

  /** Tasks that may be started, by a direct command or by the response to a heartbeat. */
  private tasksToStart(machine: Machine, by: "command" | "response"): Task[] {
    const { shard, lease } = this.shardContext;
    const { state, counters, reachability } = machine;
    if (state !== "up" || counters.highestToken < firstFencingToken(lease) || counters.resetToken !== 0) return [];
    if (isBeingEmptied(machine)) return [];
    return [...machine.tasks].filter((task) => {
      const { startCommand, job, unansweredStartAt } = task;
      const isDue = startCommand.kind === "none" || (startCommand.kind === "uncertain" && task.state === null);
      if (!isDue || !isPlacementRecorded(task) || job.cancelled || task.stopRequest !== null) return false;
      const startsDirectly =
        shard.unconfirmedStarts.has(task) && (unansweredStartAt === null || commandsArrive(reachability));
      return startsDirectly === (by === "command");
    });
  }

  override startsForResponse(machine: Machine): Command[] {
    const tasks = this.tasksToStart(machine, "response");
    if (tasks.length > 0) this.startSequences.set(machine, machine.fencing.sequence);
    const token = responseTokenOf(this.shardContext.lease, machine);
    for (const task of tasks)
      task.startCommand = { kind: "uncertain", token, answered: task.unansweredStartAt === null };
    return tasks.map(startCommandOf);
  }

  override forgetCommands(machine: Machine): Command[] {
    const commands = super.forgetCommands(machine);
    const startSequence = this.startSequences.get(machine) ?? 0;
    if (commands.length === 0 || startSequence < machine.fencing.sequence) return commands;
    const now = this.shardContext.clock.now();
    if (now - (this.forgottenAt.get(machine) ?? 0) < FORGET_INTERVAL) return [];
    this.forgottenAt.set(machine, now);
    machine.fencing.sequence += 1;
    return commands;
  }

  /** Makes the next forget commands use a token no higher than that of the starts, for a variant with this fault. */
  forgetTooEarly(machine: Machine): void {
    this.startSequences.set(machine, -1);
  }

  override async send(machine: Machine, probe = false): Promise<void> {
    const { clock, http, lease } = this.shardContext;
    const { address, counters, commands } = machine;
    if (address === null || counters.incarnation === null || commands.inFlight || !lease.isValid()) return;
    if (!probe && (machine.state !== "up" || machine.lease.expired || clock.now() < commands.nextRequestAt)) return;
    const tasks = this.tasksToStart(machine, "command");
    const orders = [...this.repeatableCommands(machine), ...tasks.map(startCommandOf)];
    if (orders.length === 0 && !probe) return;
    const token = fencingTokenOf(lease, machine);
    if (tasks.length > 0) this.startSequences.set(machine, machine.fencing.sequence);
    const body = formatJson(encodeCommandRequest(token, counters.incarnation, orders));
    const previous = new Map(tasks.map((task) => [task, task.startCommand]));
    const requestedAt = clock.now();
    commands.inFlight = true;
    const outcome = await http.call(address, { method: "POST", target: "/orders", body }, WORKER_REQUEST_TIMEOUT);
    commands.inFlight = false;
    commands.nextRequestAt = (clock.now() + RETRY_DELAY) as Micros;
    if (outcome.kind === "unsent") return;
    if (outcome.kind === "lost") {
      this.markStartsUnanswered(machine, token, tasks);
      return;
    }
    recordResponse(machine.reachability, clock.now());
    if (outcome.status === 200) commands.nextRequestAt = clock.now();
    for (const [task, startCommand] of previous)
      if (task.machine === machine) task.startCommand = outcome.status === 200 ? { kind: "observed" } : startCommand;
    this.processor.process(machine, decodeHeartbeat(parseJson(outcome.body)), { kind: "status-reply", requestedAt });
  }

  private markStartsUnanswered(machine: Machine, token: number, tasks: readonly Task[]): void {
    if (tasks.length === 0) return;
    for (const task of tasks) {
      task.unansweredStartAt = this.shardContext.clock.now();
      task.startCommand = { kind: "uncertain", token };
    }
    machine.fencing.sequence += 1;
  }
}
