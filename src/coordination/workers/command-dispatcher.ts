/** Commands to workers: which are due, and what becomes of those that were sent. */

import { isBeingEmptied, type Machine } from "../../cluster/machine.js";
import { attemptOf, isActive, isPlacementRecorded, type StartCommandState, type Task } from "../../cluster/task.js";
import { formatJson, MalformedMessageError, parseJson, type Uint64 } from "../../protocol/json.js";
import { type Command, decodeHeartbeat, encodeCommandRequest } from "../../protocol/worker.js";
import { type Micros, ms, seconds } from "../../transport/clock.js";
import type { HttpOutcome } from "../../transport/http.js";
import { WORKER_REQUEST_TIMEOUT } from "../../transport/timeouts.js";
import type { ShardContext } from "../context.js";
import { fencingTokenOf, firstFencingToken, hasFencingSequencesLeft, responseTokenOf } from "../fencing-token.js";
import { LogEvent } from "../log-events.js";
import { decideEvictions } from "./graceful-eviction.js";
import type { HeartbeatProcessor } from "./heartbeat-processor.js";
import { commandsArrive, recordResponse, recordTimeout } from "./reachability.js";

const RETRY_DELAY = ms(500);
/** Between two times that ended attempts are forgotten on one machine. */
const FORGET_INTERVAL = seconds(20);
/** No answer within this time is a message that got lost, not a connection that was refused. */
const IMMEDIATE_FAILURE = ms(200);
/** Keeps a request well below the limit of a body. */
const MAX_COMMANDS = 200;

/** A start that is being sent. An earlier one without an answer may still arrive, whatever becomes of this one. */
interface SentStart {
  readonly task: Task;
  /** What was known of the task's start command before. */
  readonly previous: StartCommandState;
}

interface CommandRequest {
  readonly address: string;
  readonly incarnation: Uint64;
  /** The fencing token under which the commands are sent. */
  readonly token: number;
  readonly commands: readonly Command[];
  /** The starts among the commands. */
  readonly starts: readonly SentStart[];
}

interface CommandAnswer {
  readonly body: string;
  /** False: the worker dropped the commands. */
  readonly accepted: boolean;
  /** When the request left. */
  readonly askedAt: Micros;
}

const startOf = (task: Task): Command => ({ op: "start", task: task.name, attempt: attemptOf(task.desired) });

/** Sends workers the difference between what is wanted on a machine and what it has reported. */
export class CommandDispatcher {
  constructor(
    private readonly context: ShardContext,
    private readonly heartbeats: HeartbeatProcessor,
  ) {}

  /**
   * Commands that may be repeated at any time, for the response to a heartbeat. `pendingStops`: stops that go first, whatever else there is.
   */
  repeatableCommands(machine: Machine, pendingStops: readonly Command[] = []): Command[] {
    const commands = [...pendingStops];
    const included = new Set(pendingStops.map(({ task, attempt }) => `${task}#${attempt}`));
    const stop = (task: string, attempt: Uint64, graceS: number): void => {
      if (!included.has(`${task}#${attempt}`)) commands.push({ op: "stop", task, attempt, graceS });
    };
    for (const task of machine.tasks) {
      if (!isActive(task)) continue;
      const attempt = attemptOf(task.desired);
      if (task.job.cancelled) stop(task.name, attempt, 0);
      else if (task.stopRequest !== null && task.state !== "saving") stop(task.name, attempt, task.stopRequest.graceS);
    }
    for (const [task, attempt] of machine.reported.unexpectedTasks) stop(task, attempt, 0);
    return commands.slice(0, Math.max(MAX_COMMANDS, pendingStops.length));
  }

  /**
   * Attempts that have ended and are on record, for the response to a heartbeat; called before its token is determined. Once
   * forgotten, an attempt would be started again by its own start command, come late or a second time (a repeat of one that
   * had been carried out started tasks twice on 15 of 60 days). So the same response that has them forgotten shows a token
   * above all those under which anything was started; at most once in a while, since commands under way are dropped by it.
   */
  forgetCommands(machine: Machine): Command[] {
    const { clock, lease } = this.context;
    if (machine.reported.exitedTasks.size === 0) return [];
    const commands: Command[] = [];
    for (const [name, attempt] of machine.reported.exitedTasks) {
      if (this.mayForget(name, attempt)) commands.push({ op: "forget", task: name, attempt });
    }
    if (commands.length === 0 || machine.fencing.startSequence < machine.fencing.sequence)
      return commands.slice(0, MAX_COMMANDS);
    if (machine.commands.inFlight || clock.now() - machine.fencing.forgetSentAt < FORGET_INTERVAL) return [];
    machine.fencing.forgetSentAt = clock.now();
    machine.fencing.sequence += 1;
    if (!hasFencingSequencesLeft(machine)) {
      this.context.log.info(LogEvent.FencingSequencesExhausted, { machine: machine.name, epoch: lease.epoch });
      this.context.onInconsistent();
      return [];
    }
    return commands.slice(0, MAX_COMMANDS);
  }

  /**
   * Starts for the response to a fenced heartbeat: of tasks that no direct command starts. A worker drops a response that
   * comes late, so that one of these never does.
   */
  startsForResponse(machine: Machine): Command[] {
    if (!this.isTrusted(machine)) return [];
    const tasks = this.startableTasks(machine, "response");
    if (tasks.length === 0) return [];
    const token = responseTokenOf(this.context.lease, machine);
    machine.fencing.startSequence = machine.fencing.sequence;
    for (const task of tasks)
      task.startCommand = { kind: "uncertain", token, answered: task.unansweredStartAt === null };
    return tasks.map(startOf);
  }

  /** Is there anything that cannot wait for the response to the next heartbeat? */
  hasUrgentCommands(machine: Machine): boolean {
    if (machine.reported.unexpectedTasks.size > 0) return true;
    for (const task of machine.tasks) {
      if (task.startCommand.kind === "none" || task.startCommand.kind === "uncertain") return true;
      if ((task.stopRequest !== null || task.job.cancelled) && isActive(task)) return true;
    }
    return false;
  }

  /** Only what is on record may be forgotten by the worker. */
  private mayForget(name: string, attempt: unknown): boolean {
    const slash = name.lastIndexOf("/");
    const job = this.context.shard.jobs.get(name.slice(0, slash));
    if (job === undefined || job.cancelled) return true;
    const task = this.findTask(job.ranges, Number(name.slice(slash + 1)));
    return task === null || task.recorded.kind !== "placed" || task.recorded.attempt !== attempt;
  }

  private findTask(ranges: readonly { readonly tasks: readonly Task[] }[], index: number): Task | null {
    const size = ranges[0]?.tasks.length ?? 1;
    return ranges[Math.floor(index / size)]?.tasks[index % size] ?? null;
  }

  /**
   * Whether a direct command starts the task: not where it is on record that its starts were answered, nor where it is bound
   * to the machine by a start that is still on its way and commands do not arrive.
   */
  private startsDirectly({ reachability }: Machine, task: Task): boolean {
    if (!this.context.shard.unconfirmedStarts.has(task)) return false;
    return task.unansweredStartAt === null || commandsArrive(reachability);
  }

  /** What is to be started, by a direct command or by the response to a heartbeat. */
  private startableTasks(machine: Machine, by: "command" | "response"): Task[] {
    const starts: Task[] = [];
    if (!this.context.mayStartTasks(machine) || isBeingEmptied(machine)) return starts;
    for (const task of machine.tasks) {
      if (starts.length >= MAX_COMMANDS) break;
      if (this.isStartable(task) && this.startsDirectly(machine, task) === (by === "command")) starts.push(task);
    }
    return starts;
  }

  private isStartable(task: Task): boolean {
    const { startCommand, job } = task;
    if (startCommand.kind !== "none" && (startCommand.kind !== "uncertain" || task.state !== null)) return false;
    if (!isPlacementRecorded(task) || job.cancelled || task.stopRequest !== null) return false;
    // A held task counts against its team's limit; with what else a new leader takes over, that may be exceeded.
    return task.unansweredStartAt === null || this.context.shard.withinLimit(job.spec, 0);
  }

  /**
   * Sends the machine its commands, unless a request to it is under way. `probe`: send even without commands, to learn
   * the worker's state under this leader's token.
   */
  async send(machine: Machine, probe = false): Promise<void> {
    const request = this.buildRequest(machine, probe);
    if (request === null) return;
    const { clock, http } = this.context;
    machine.commands.inFlight = true;
    const body = formatJson(encodeCommandRequest(request.token, request.incarnation, request.commands));
    const askedAt = clock.now();
    const outcome = await http.call(
      request.address,
      { method: "POST", target: "/orders", body },
      WORKER_REQUEST_TIMEOUT,
    );
    machine.commands.inFlight = false;
    this.updateReachability(machine, outcome, askedAt);
    const pendingStarts = request.starts.filter(
      ({ task }) => task.machine === machine && task.startCommand.kind === "sending",
    );
    if (outcome.kind === "answer" && (outcome.status === 200 || outcome.status === 409)) {
      this.handleAnswer(machine, request, pendingStarts, {
        body: outcome.body,
        accepted: outcome.status === 200,
        askedAt,
      });
    } else {
      this.handleFailure(machine, request, pendingStarts, outcome.kind === "unsent");
    }
  }

  /** Null where nothing may or need be sent; else the tasks to start are marked as being sent. */
  private buildRequest(machine: Machine, probe: boolean): CommandRequest | null {
    const { address, counters } = machine;
    const { incarnation } = counters;
    if (address === null || incarnation === null || !this.maySend(machine, probe)) return null;
    const tasks = this.isTrusted(machine) ? this.startableTasks(machine, "command") : [];
    const repeatable = this.repeatableCommands(machine);
    if (tasks.length === 0 && !probe && repeatable.length === 0) return null;
    const token = fencingTokenOf(this.context.lease, machine);
    if (tasks.length > 0) machine.fencing.startSequence = machine.fencing.sequence;
    const commands: Command[] = [...repeatable, ...tasks.map(startOf)];
    const starts = tasks.map((task): SentStart => ({ task, previous: task.startCommand }));
    for (const task of tasks) task.startCommand = { kind: "sending" };
    return { address, incarnation, token, commands, starts };
  }

  private maySend(machine: Machine, probe: boolean): boolean {
    const { clock, lease } = this.context;
    if (machine.commands.inFlight || !lease.isValid()) return false;
    if (probe) return true;
    return machine.state === "up" && !machine.lease.expired && clock.now() >= machine.commands.nextAt;
  }

  /**
   * What was inherited is not started again before the worker has been heard under this leader's token: until then the
   * attempt may have ended and be waiting for its place in the records.
   */
  private isTrusted({ state, counters }: Machine): boolean {
    return (
      state === "up" && counters.highestToken >= firstFencingToken(this.context.lease) && counters.resetToken === 0
    );
  }

  /** The worker has accepted the commands, or refused them for their token or incarnation; its state is in the body. */
  private handleAnswer(
    machine: Machine,
    request: CommandRequest,
    pendingStarts: readonly SentStart[],
    { body, accepted, askedAt }: CommandAnswer,
  ): void {
    const { clock, log } = this.context;
    for (const { task, previous } of pendingStarts) task.startCommand = accepted ? { kind: "observed" } : previous;
    try {
      const heartbeat = decodeHeartbeat(parseJson(body));
      if (heartbeat.machine !== machine.name) throw new MalformedMessageError("status of another machine");
      this.heartbeats.process(machine, heartbeat, { kind: "status-reply", askedAt });
    } catch (error) {
      log.error(LogEvent.WorkerResponseMalformed, { machine: machine.name, error: String(error) });
      this.markStartsUncertain(machine, request.token, pendingStarts);
    }
    machine.commands.nextAt = (accepted ? clock.now() : clock.now() + RETRY_DELAY) as Micros;
    if (this.startableTasks(machine, "command").length > 0 || this.repeatableCommands(machine).length > 0) {
      this.context.scheduleCommands(machine);
    }
  }

  /** `unsent`: the request surely did not leave; otherwise it may have been carried out or still arrive. */
  private handleFailure(
    machine: Machine,
    request: CommandRequest,
    pendingStarts: readonly SentStart[],
    unsent: boolean,
  ): void {
    const { clock } = this.context;
    machine.commands.nextAt = (clock.now() + RETRY_DELAY) as Micros;
    if (unsent) for (const { task, previous } of pendingStarts) task.startCommand = previous;
    else this.startsUnanswered(machine, request.token, pendingStarts);
    clock.after(RETRY_DELAY, () => this.context.scheduleCommands(machine));
  }

  /** Asks a worker that has sent no heartbeat here for its state; its answer renews no lease. */
  async queryStatus(machine: Machine): Promise<void> {
    const { http, lease, log, clock } = this.context;
    const { address } = machine;
    if (address === null || !lease.isValid()) return;
    const askedAt = clock.now();
    const outcome = await http.call(address, { method: "GET", target: "/status", body: "" }, WORKER_REQUEST_TIMEOUT);
    this.updateReachability(machine, outcome, askedAt);
    if (outcome.kind !== "answer" || outcome.status !== 200) return;
    try {
      const heartbeat = decodeHeartbeat(parseJson(outcome.body));
      if (heartbeat.machine !== machine.name) return;
      this.heartbeats.process(machine, heartbeat, { kind: "status-reply", askedAt });
      if (machine.counters.highestToken < firstFencingToken(lease)) await this.send(machine, true);
    } catch (error) {
      log.error(LogEvent.WorkerResponseMalformed, { machine: machine.name, error: String(error) });
    }
  }

  /** Records whether requests to the machine arrive. What fails at once says nothing: it has not left, or nobody listens yet. */
  private updateReachability(machine: Machine, outcome: HttpOutcome, askedAt: Micros): void {
    const { clock, loadShedder } = this.context;
    if (outcome.kind === "answer") {
      recordResponse(machine.reachability, clock.now());
      return;
    }
    if (machine.state !== "up" || clock.now() - askedAt < IMMEDIATE_FAILURE || loadShedder.atLeast("reduced")) return;
    recordTimeout(machine.reachability);
  }

  /** The worker may carry the starts out at any time, also in a later life with reset counters. */
  private startsUnanswered(machine: Machine, token: number, starts: readonly SentStart[]): void {
    for (const { task } of starts) task.unansweredStartAt = this.context.clock.now();
    this.markStartsUncertain(machine, token, starts);
  }

  /**
   * A command got lost on the way and may arrive minutes later, under this token. From now on the machine is
   * sent a higher one; a heartbeat that shows it proves that the lost command is dropped.
   */
  private markStartsUncertain(machine: Machine, token: number, starts: readonly SentStart[]): void {
    // Stops name an attempt that has been seen: late or twice, they do no harm.
    if (starts.length === 0) return;
    for (const { task } of starts) task.startCommand = { kind: "uncertain", token };
    machine.fencing.sequence += 1;
  }

  /** Stops tasks that cannot end well where they are. */
  evict(machine: Machine): void {
    for (const action of decideEvictions(machine, this.context.clock.now())) {
      switch (action.kind) {
        case "release":
          this.heartbeats.taskGone(action.task);
          break;
        case "keep":
          action.task.stopRequest = null;
          this.context.scheduleCommands(machine);
          break;
        case "stop":
          action.task.stopRequest = { graceS: action.graceS };
      }
    }
    if (isBeingEmptied(machine) && this.repeatableCommands(machine).length > 0) this.context.scheduleCommands(machine);
  }
}
