/** Commands to workers: determines which are due, sends them and processes the replies. */

import { isBeingEmptied, type Machine } from "../../cluster/machine.js";
import { attemptOf, isActive, type Task, type TaskRange } from "../../cluster/task.js";
import { formatJson, MalformedMessageError, parseJson, type Uint64 } from "../../protocol/json.js";
import { type Command, decodeHeartbeat, encodeCommandRequest } from "../../protocol/worker.js";
import { type Micros, ms } from "../../transport/clock.js";
import type { HttpOutcome } from "../../transport/http.js";
import { WORKER_REQUEST_TIMEOUT } from "../../transport/timeouts.js";
import type { ShardContext } from "../context.js";
import { fencingTokenOf, firstFencingToken, hasFencingSequencesLeft, responseTokenOf } from "../fencing-token.js";
import { LogEvent, MAX_LOGGED_TASKS } from "../log-events.js";
import { decideEvictions } from "./graceful-eviction.js";
import type { HeartbeatProcessor } from "./heartbeat-processor.js";
import type { LongPolls } from "./long-polls.js";
import { recordResponse, recordTimeout } from "./reachability.js";
import { startableTasks, unfencedRevokedStarts } from "./start-commands.js";

const RETRY_DELAY = ms(500);
/** A request that fails sooner was refused a connection or not sent; one that fails later was lost. */
const IMMEDIATE_FAILURE_TIME = ms(200);
/** Commands in one request or response, to keep it well below the size limit of a body. */
const MAX_COMMANDS = 200;
/** Added to half of the worker's lease, for a worker whose clock is slow. */
const TOKEN_REPORT_MARGIN = ms(100);

interface CommandRequest {
  readonly address: string;
  readonly incarnation: Uint64;
  /** The fencing token under which the commands are sent. */
  readonly token: number;
  readonly commands: readonly Command[];
}

interface CommandReply {
  readonly body: string;
  /** False: the worker dropped the commands. */
  readonly accepted: boolean;
  /** When the request was sent. */
  readonly requestedAt: Micros;
}

const startCommandOf = (task: Task): Command => ({ op: "start", task: task.name, attempt: attemptOf(task.desired) });

/**
 * Sends workers the difference between the desired and the reported tasks of a machine. Tasks are started by responses
 * to heartbeats only: a worker executes neither a late response nor a copy of one, while a direct command may be
 * delivered and executed after the worker's counters were reset (docs/heartbeat-evidence.md).
 */
export class CommandDispatcher {
  constructor(
    private readonly context: ShardContext,
    private readonly heartbeats: HeartbeatProcessor,
    private readonly longPolls: Pick<LongPolls, "end">,
  ) {}

  /**
   * Stop commands, which may be repeated at any time, for the response to a heartbeat. `pendingStops`: stops that come
   * first and are never cut off by the limit.
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

  /** Forgets of attempts whose end is on record, for the response to a heartbeat that shows this leader's token. */
  forgetCommands(machine: Machine): Command[] {
    const commands: Command[] = [];
    for (const [name, attempt] of machine.reported.exitedTasks) {
      if (commands.length >= MAX_COMMANDS) break;
      if (this.mayForget(name, attempt)) commands.push({ op: "forget", task: name, attempt });
    }
    return commands;
  }

  /**
   * Starts for the response to a fenced heartbeat; each response repeats them until the worker lists the attempt. If a
   * start sent before is not to be repeated, the response carries a token above it, which proves it lost.
   */
  startsForResponse(machine: Machine): Command[] {
    this.fenceRevokedStarts(machine);
    const tasks = startableTasks(this.context, machine, MAX_COMMANDS);
    if (tasks.length === 0) return [];
    const token = responseTokenOf(this.context.lease, machine);
    for (const task of tasks)
      task.startCommand = { kind: "uncertain", token, answered: task.unansweredStartAt === null };
    return tasks.map(startCommandOf);
  }

  private fenceRevokedStarts(machine: Machine): void {
    const { lease, log } = this.context;
    const revoked = unfencedRevokedStarts(lease, machine);
    if (revoked.length === 0 || !this.raiseToken(machine)) return;
    log.info(LogEvent.StartsRevoked, {
      machine: machine.name,
      tasks: revoked.slice(0, MAX_LOGGED_TASKS).map(({ name }) => name),
    });
  }

  /** Whether there are stop commands, which cannot wait for the response to the next heartbeat. */
  hasUrgentCommands(machine: Machine): boolean {
    if (machine.reported.unexpectedTasks.size > 0) return true;
    for (const task of machine.tasks)
      if ((task.stopRequest !== null || task.job.cancelled) && isActive(task)) return true;
    return false;
  }

  /** Whether the next response to a heartbeat is to start a task for which no start command has been sent yet. */
  hasWaitingStarts(machine: Machine): boolean {
    return startableTasks(this.context, machine, MAX_COMMANDS).some(({ startCommand }) => startCommand.kind === "none");
  }

  /** A worker may forget an attempt only once its end is on record. */
  private mayForget(name: string, attempt: unknown): boolean {
    const slash = name.lastIndexOf("/");
    const job = this.context.shard.jobs.get(name.slice(0, slash));
    if (job === undefined || job.cancelled) return true;
    const task = this.findTask(job.ranges, Number(name.slice(slash + 1)));
    return task === null || task.recorded.kind !== "placed" || task.recorded.attempt !== attempt;
  }

  /** Null: the job has no such task, or it is on record as done and no longer held in memory. */
  private findTask(ranges: readonly TaskRange[], index: number): Task | null {
    const size = ranges[0]?.size ?? 1;
    return ranges[Math.floor(index / size)]?.tasks[index % size] ?? null;
  }

  /**
   * Sends the machine its commands, unless a request to it is in flight. If starts wait for the response to a
   * heartbeat, ends the wait of a held response, or raises the token so that the worker sends a heartbeat. `probe`:
   * send even without commands, to learn the worker's state under this leader's token.
   */
  async send(machine: Machine, probe = false): Promise<void> {
    const hasPendingStarts = this.hasWaitingStarts(machine) && !this.longPolls.end(machine);
    const request = this.buildRequest(machine, probe, hasPendingStarts);
    if (request === null) return;
    const { clock, http } = this.context;
    machine.commands.inFlight = true;
    const body = formatJson(encodeCommandRequest(request.token, request.incarnation, request.commands));
    const requestedAt = clock.now();
    const outcome = await http.call(
      request.address,
      { method: "POST", target: "/orders", body },
      WORKER_REQUEST_TIMEOUT,
    );
    machine.commands.inFlight = false;
    this.updateReachability(machine, outcome, requestedAt);
    if (outcome.kind === "answer" && (outcome.status === 200 || outcome.status === 409))
      this.handleReply(machine, { body: outcome.body, accepted: outcome.status === 200, requestedAt });
    else this.retryLater(machine);
  }

  /** Null: nothing may be sent, or there is nothing to send. */
  private buildRequest(machine: Machine, probe: boolean, hasPendingStarts: boolean): CommandRequest | null {
    const { address, counters } = machine;
    const { incarnation } = counters;
    if (address === null || incarnation === null || !this.maySend(machine, probe)) return null;
    const commands = this.repeatableCommands(machine);
    const requestsHeartbeat = hasPendingStarts && this.raiseTokenForHeartbeat(machine);
    if (!requestsHeartbeat && !probe && commands.length === 0) return null;
    return { address, incarnation, token: fencingTokenOf(this.context.lease, machine), commands };
  }

  /**
   * Raises the token of the next command, which the worker reports by an immediate heartbeat. A worker does so once per
   * half of its lease; in between, starts wait for its next regular heartbeat. Returns whether the token was raised.
   */
  private raiseTokenForHeartbeat(machine: Machine): boolean {
    const { clock, settings } = this.context;
    if (clock.now() - machine.fencing.tokenRaisedAt < settings.workers.lease / 2 + TOKEN_REPORT_MARGIN) return false;
    return this.raiseToken(machine);
  }

  /** Raises the token of what is sent next. False: none is left, and the shard is reacquired under a new epoch. */
  private raiseToken(machine: Machine): boolean {
    const { clock, lease, log } = this.context;
    if (!hasFencingSequencesLeft(machine)) {
      log.info(LogEvent.FencingSequencesExhausted, { machine: machine.name, epoch: lease.epoch });
      this.context.onInconsistent();
      return false;
    }
    machine.fencing.sequence += 1;
    machine.fencing.tokenRaisedAt = clock.now();
    return true;
  }

  private maySend(machine: Machine, probe: boolean): boolean {
    const { clock, lease } = this.context;
    if (machine.commands.inFlight || !lease.isValid()) return false;
    if (probe) return true;
    return machine.state === "up" && !machine.lease.expired && clock.now() >= machine.commands.nextRequestAt;
  }

  /**
   * The worker has accepted the commands, or rejected them for their token or incarnation; the body holds its status.
   */
  private handleReply(machine: Machine, { body, accepted, requestedAt }: CommandReply): void {
    const { clock, log } = this.context;
    try {
      const heartbeat = decodeHeartbeat(parseJson(body));
      if (heartbeat.machine !== machine.name) throw new MalformedMessageError("status of another machine");
      this.heartbeats.process(machine, heartbeat, { kind: "status-reply", requestedAt });
    } catch (error) {
      log.error(LogEvent.WorkerResponseMalformed, { machine: machine.name, error: String(error) });
    }
    machine.commands.nextRequestAt = (accepted ? clock.now() : clock.now() + RETRY_DELAY) as Micros;
    if (this.repeatableCommands(machine).length > 0) this.context.scheduleCommands(machine);
  }

  private retryLater(machine: Machine): void {
    const { clock } = this.context;
    machine.commands.nextRequestAt = (clock.now() + RETRY_DELAY) as Micros;
    clock.after(RETRY_DELAY, () => this.context.scheduleCommands(machine));
  }

  /** Requests the status of a worker; unlike a response to a heartbeat, this renews no lease. */
  async queryStatus(machine: Machine): Promise<void> {
    const { http, lease, log, clock } = this.context;
    const { address } = machine;
    if (address === null || !lease.isValid()) return;
    const requestedAt = clock.now();
    const outcome = await http.call(address, { method: "GET", target: "/status", body: "" }, WORKER_REQUEST_TIMEOUT);
    this.updateReachability(machine, outcome, requestedAt);
    if (outcome.kind !== "answer" || outcome.status !== 200) return;
    try {
      const heartbeat = decodeHeartbeat(parseJson(outcome.body));
      if (heartbeat.machine !== machine.name) return;
      this.heartbeats.process(machine, heartbeat, { kind: "status-reply", requestedAt });
      if (machine.counters.highestToken < firstFencingToken(lease)) await this.send(machine, true);
    } catch (error) {
      log.error(LogEvent.WorkerResponseMalformed, { machine: machine.name, error: String(error) });
    }
  }

  /** Records whether requests reach the machine. An immediate failure proves nothing: not sent, or no listener yet. */
  private updateReachability(machine: Machine, outcome: HttpOutcome, requestedAt: Micros): void {
    const { clock, loadShedder } = this.context;
    if (outcome.kind === "answer") {
      recordResponse(machine.reachability, clock.now());
      return;
    }
    if (machine.state !== "up" || clock.now() - requestedAt < IMMEDIATE_FAILURE_TIME || loadShedder.atLeast("reduced"))
      return;
    recordTimeout(machine.reachability);
  }

  /** Carries out the graceful evictions due on the machine: releases, keeps or stops its tasks. */
  applyEvictions(machine: Machine): void {
    for (const action of decideEvictions(machine, this.context.clock.now())) {
      switch (action.kind) {
        case "release":
          this.heartbeats.releaseAbsentTask(action.task);
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
