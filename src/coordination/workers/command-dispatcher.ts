import type { Machine } from "../../cluster/machine.js";
import { attemptOf, isActive, isPlacementRecorded, type StartCommandState, type Task } from "../../cluster/task.js";
import { formatJson, parseJson, type Uint64 } from "../../protocol/json.js";
import { type Command, decodeHeartbeat, encodeCommandRequest } from "../../protocol/worker.js";
import { type Micros, ms, seconds } from "../../transport/clock.js";
import type { HttpOutcome } from "../../transport/http.js";
import { WORKER_REQUEST_TIMEOUT } from "../../transport/timeouts.js";
import type { ShardContext } from "../context.js";
import { fencingTokenOf, firstFencingToken, hasFencingSequencesLeft } from "../fencing-token.js";
import { LogEvent } from "../log-events.js";
import { decideEvictions } from "./graceful-eviction.js";
import type { HeartbeatProcessor } from "./heartbeat-processor.js";
import { recordResponse, recordTimeout } from "./reachability.js";

const RETRY_DELAY = ms(500);
/** Between two times that ended attempts are forgotten on one machine. */
const FORGET_INTERVAL = seconds(20);
/** No answer within this is a message that got lost, not a connection that was refused. */
const IMMEDIATE_FAILURE = ms(200);
/** Keeps a request well below the limit of a body. */
const MAX_COMMANDS = 200;

/** Sends workers the difference between what is wanted on a machine and what it has reported. */
export class CommandDispatcher {
  constructor(
    private readonly context: ShardContext,
    private readonly heartbeats: HeartbeatProcessor,
  ) {}

  /**
   * Commands that may be repeated at any time, for the response to a report. Starts are never among them: they
   * go to /orders only, where a lost one is known to be lost. `owed`: stops that go first, whatever else there is.
   */
  repeatableCommands(machine: Machine, owed: readonly Command[] = []): Command[] {
    const commands = [...owed];
    const said = new Set(owed.map(({ task, attempt }) => `${task}#${attempt}`));
    const stop = (task: string, attempt: Uint64, graceS: number): void => {
      if (!said.has(`${task}#${attempt}`)) commands.push({ op: "stop", task, attempt, graceS });
    };
    for (const task of machine.tasks) {
      if (!isActive(task)) continue;
      const attempt = attemptOf(task.desired);
      if (task.job.cancelled) stop(task.name, attempt, 0);
      else if (task.stopRequest !== null && task.state !== "saving") stop(task.name, attempt, task.stopRequest.graceS);
    }
    for (const [task, attempt] of machine.reported.unexpectedTasks) stop(task, attempt, 0);
    return commands.slice(0, Math.max(MAX_COMMANDS, owed.length));
  }

  /**
   * Attempts that have ended and are on record, for the response to a report; called before its token is made up. Once
   * forgotten, an attempt would be started anew by its own start command, come late or a second time (a repeat of one that
   * had been carried out started tasks twice on 15 of 60 days). So the same answer that has them forgotten shows a token above all
   * those under which anything was started; at most once in a while, since commands under way are dropped by it.
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
      this.context.log.info(LogEvent.FencingSequencesExhausted, { machine: machine.name, number: lease.epoch });
      this.context.onInconsistent();
      return [];
    }
    return commands.slice(0, MAX_COMMANDS);
  }

  /** Is there anything that cannot wait for the answer to the next report? */
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

  private tasksToStart(machine: Machine): Task[] {
    const starts: Task[] = [];
    if (!this.context.mayStartTasks(machine)) return starts;
    for (const task of machine.tasks) {
      const open = task.startCommand.kind === "none" || (task.startCommand.kind === "uncertain" && task.state === null);
      if (open && isPlacementRecorded(task) && !task.job.cancelled && task.stopRequest === null) starts.push(task);
    }
    return starts.slice(0, MAX_COMMANDS);
  }

  /** `probe`: send even without commands, to learn the worker's state under our token. */
  async send(machine: Machine, probe = false): Promise<void> {
    const { clock, lease, http, log } = this.context;
    const {
      address,
      counters: { incarnation },
    } = machine;
    if (address === null || incarnation === null || machine.commands.inFlight || !lease.isValid()) return;
    if (!probe && (machine.state !== "up" || machine.lease.expired)) return;
    if (clock.now() < machine.commands.nextAt && !probe) return;
    // What was inherited is not started again before the worker has been heard under our token: until then the
    // attempt may have ended and be waiting for its place in the records.
    const trusted =
      machine.state === "up" &&
      machine.counters.highestToken >= firstFencingToken(lease) &&
      machine.counters.resetToken === 0;
    const starts = trusted ? this.tasksToStart(machine) : [];
    const others = this.repeatableCommands(machine);
    if (starts.length === 0 && !probe && others.length === 0) return;
    const token = fencingTokenOf(lease, machine);
    if (starts.length > 0) machine.fencing.startSequence = machine.fencing.sequence;
    const commands: Command[] = [
      ...others,
      ...starts.map((task): Command => ({ op: "start", task: task.name, attempt: attemptOf(task.desired) })),
    ];
    // An earlier start of it that got no answer may still arrive, whatever becomes of this one.
    const before = new Map(starts.map((task) => [task, task.startCommand]));
    for (const task of starts) task.startCommand = { kind: "sending" };
    const launchBefore = (task: Task): StartCommandState => before.get(task) ?? { kind: "none" };
    machine.commands.inFlight = true;
    const body = formatJson(encodeCommandRequest(token, incarnation, commands));
    const askedAt = clock.now();
    const outcome = await http.call(address, { method: "POST", target: "/orders", body }, WORKER_REQUEST_TIMEOUT);
    machine.commands.inFlight = false;
    this.updateReachability(machine, outcome, askedAt);
    const still = starts.filter((task) => task.machine === machine && task.startCommand.kind === "sending");
    if (outcome.kind === "answer" && (outcome.status === 200 || outcome.status === 409)) {
      for (const task of still) task.startCommand = outcome.status === 200 ? { kind: "observed" } : launchBefore(task);
      try {
        const heartbeat = decodeHeartbeat(parseJson(outcome.body));
        if (heartbeat.machine !== machine.name) throw new Error("another machine's report");
        this.heartbeats.process(machine, heartbeat, { kind: "status-reply", askedAt });
      } catch (error) {
        log.error(LogEvent.WorkerResponseMalformed, { machine: machine.name, error: String(error) });
        this.startsLost(machine, token, still);
      }
      machine.commands.nextAt = (outcome.status === 200 ? clock.now() : clock.now() + RETRY_DELAY) as Micros;
      if (this.tasksToStart(machine).length > 0 || this.repeatableCommands(machine).length > 0) {
        this.context.scheduleCommands(machine);
      }
      return;
    }
    machine.commands.nextAt = (clock.now() + RETRY_DELAY) as Micros;
    if (outcome.kind === "unsent") for (const task of still) task.startCommand = launchBefore(task);
    else this.startsLost(machine, token, still);
    clock.after(RETRY_DELAY, () => this.context.scheduleCommands(machine));
  }

  /** Asks a worker that has not reported here for its state; its answer renews nothing. */
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

  /** Whether what is sent there gets there. What fails at once says nothing: it has not left, or nobody listens yet. */
  private updateReachability(machine: Machine, outcome: HttpOutcome, askedAt: Micros): void {
    const { clock, loadShedder } = this.context;
    if (outcome.kind === "answer") {
      recordResponse(machine.reachability, clock.now());
      return;
    }
    if (machine.state !== "up" || clock.now() - askedAt < IMMEDIATE_FAILURE || loadShedder.atLeast("reduced")) return;
    recordTimeout(machine.reachability);
  }

  /**
   * A command got lost on the way and may land minutes later, under this token. From now on the machine is
   * spoken to under a higher one; a report that shows it proves the lost command dead.
   */
  private startsLost(machine: Machine, token: number, starts: readonly Task[]): void {
    // Stops name an attempt that has been seen: late or twice, they do no harm.
    if (starts.length === 0) return;
    for (const task of starts) task.startCommand = { kind: "uncertain", token };
    machine.fencing.sequence += 1;
  }

  /** Stops tasks that cannot end well where they are. */
  evict(machine: Machine): void {
    for (const action of decideEvictions(machine, this.context.clock.now())) {
      if (action.kind === "release") this.heartbeats.taskGone(action.task);
      else action.task.stopRequest = { graceS: action.graceS };
    }
    const leaving = machine.lifecycle.reclaimAt !== null || machine.lifecycle.drainReason === "scale-in";
    if (leaving && this.repeatableCommands(machine).length > 0) this.context.scheduleCommands(machine);
  }
}
