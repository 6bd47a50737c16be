import type { Launch, Machine, Task } from "../bookkeeping/picture.js";
import { attemptOf, confirmed, isActive } from "../bookkeeping/tasks.js";
import { formatJson, parseJson, type Whole } from "../protocol/json.js";
import { type Command, commandRequest, readReport } from "../protocol/worker.js";
import { type Micros, ms, seconds } from "../transport/clock.js";
import type { Outcome } from "../transport/http.js";
import { COMMAND_PATIENCE } from "../transport/patience.js";
import { type BlockContext, fencesLeft, firstToken, tokenOf } from "./context.js";
import { decideDrain } from "./decisions/drain.js";
import { gotNothing, heardBack } from "./decisions/reach.js";
import type { Observer } from "./observer.js";

const RETRY = ms(500);
/** Between two times that ended attempts are forgotten on one machine. */
const FORGET_PERIOD = seconds(20);
/** No answer within this is a message that got lost, not a connection that was refused. */
const PROMPT = ms(200);
/** Keeps a request well below the limit of a body. */
const MAX_COMMANDS = 200;

/** Sends workers the difference between what is wanted on a machine and what it has reported. */
export class Commander {
  constructor(
    private readonly context: BlockContext,
    private readonly observer: Observer,
  ) {}

  /**
   * Commands that may be repeated at any time, for the response to a report. Starts are never among them: they
   * go to /orders only, where a lost one is known to be lost. `owed`: stops that go first, whatever else there is.
   */
  standing(machine: Machine, owed: readonly Command[] = []): Command[] {
    const commands = [...owed];
    const said = new Set(owed.map(({ task, attempt }) => `${task}#${attempt}`));
    const stop = (task: string, attempt: Whole, graceS: number): void => {
      if (!said.has(`${task}#${attempt}`)) commands.push({ op: "stop", task, attempt, graceS });
    };
    for (const task of machine.tasks) {
      if (!isActive(task)) continue;
      const attempt = attemptOf(task.want);
      if (task.job.cancelled) stop(task.name, attempt, 0);
      else if (task.stop !== null && task.state !== "saving") stop(task.name, attempt, task.stop.graceS);
    }
    for (const [task, attempt] of machine.strays) stop(task, attempt, 0);
    return commands.slice(0, Math.max(MAX_COMMANDS, owed.length));
  }

  /**
   * Attempts that have ended and are on record, for the response to a report; called before its token is made up. Once
   * forgotten, an attempt would be started anew by its own start command, come late or a second time (a repeat of one that
   * had been carried out started tasks twice on 15 of 60 days). So the same answer that has them forgotten shows a token above all
   * those under which anything was started; at most once in a while, since commands under way are dropped by it.
   */
  forgets(machine: Machine): Command[] {
    const { clock, lease } = this.context;
    if (machine.exited.size === 0) return [];
    const commands: Command[] = [];
    for (const [name, attempt] of machine.exited) {
      if (this.forgettable(name, attempt)) commands.push({ op: "forget", task: name, attempt });
    }
    if (commands.length === 0 || machine.launchFence < machine.fence) return commands.slice(0, MAX_COMMANDS);
    if (machine.commanding || clock.now() - machine.forgotAt < FORGET_PERIOD) return [];
    machine.forgotAt = clock.now();
    machine.fence += 1;
    if (!fencesLeft(machine)) {
      this.context.log.info("fences used up, starting over", { machine: machine.name, number: lease.number });
      this.context.startOver();
      return [];
    }
    return commands.slice(0, MAX_COMMANDS);
  }

  /** Is there anything that cannot wait for the answer to the next report? */
  urgent(machine: Machine): boolean {
    if (machine.strays.size > 0) return true;
    for (const task of machine.tasks) {
      if (task.launch.kind === "none" || task.launch.kind === "unsure") return true;
      if ((task.stop !== null || task.job.cancelled) && isActive(task)) return true;
    }
    return false;
  }

  /** Only what is on record may be forgotten by the worker. */
  private forgettable(name: string, attempt: unknown): boolean {
    const slash = name.lastIndexOf("/");
    const job = this.context.block.jobs.get(name.slice(0, slash));
    if (job === undefined || job.cancelled) return true;
    const task = this.findTask(job.ranges, Number(name.slice(slash + 1)));
    return task === null || task.durable.kind !== "placed" || task.durable.attempt !== attempt;
  }

  private findTask(ranges: readonly { readonly tasks: readonly Task[] }[], index: number): Task | null {
    const size = ranges[0]?.tasks.length ?? 1;
    return ranges[Math.floor(index / size)]?.tasks[index % size] ?? null;
  }

  private starts(machine: Machine): Task[] {
    const starts: Task[] = [];
    if (!this.context.mayStart(machine)) return starts;
    for (const task of machine.tasks) {
      const open = task.launch.kind === "none" || (task.launch.kind === "unsure" && task.state === null);
      if (open && confirmed(task) && !task.job.cancelled && task.stop === null) starts.push(task);
    }
    return starts.slice(0, MAX_COMMANDS);
  }

  /** `probe`: send even without commands, to learn the worker's state under our token. */
  async send(machine: Machine, probe = false): Promise<void> {
    const { clock, lease, http, log } = this.context;
    const { address, session } = machine;
    if (address === null || session === null || machine.commanding || !lease.valid()) return;
    if (!probe && (machine.state !== "up" || machine.leaseOver)) return;
    if (clock.now() < machine.commandAfter && !probe) return;
    // What was inherited is not started again before the worker has been heard under our token: until then the
    // attempt may have ended and be waiting for its place in the records.
    const trusted = machine.state === "up" && machine.seenToken >= firstToken(lease) && machine.anewToken === 0;
    const starts = trusted ? this.starts(machine) : [];
    const others = this.standing(machine);
    if (starts.length === 0 && !probe && others.length === 0) return;
    const token = tokenOf(lease, machine);
    if (starts.length > 0) machine.launchFence = machine.fence;
    const commands: Command[] = [
      ...others,
      ...starts.map((task): Command => ({ op: "start", task: task.name, attempt: attemptOf(task.want) })),
    ];
    // An earlier start of it that got no answer may still arrive, whatever becomes of this one.
    const before = new Map(starts.map((task) => [task, task.launch]));
    for (const task of starts) task.launch = { kind: "sending" };
    const launchBefore = (task: Task): Launch => before.get(task) ?? { kind: "none" };
    machine.commanding = true;
    const body = formatJson(commandRequest(token, session, commands));
    const askedAt = clock.now();
    const outcome = await http.call(address, { method: "POST", target: "/orders", body }, COMMAND_PATIENCE);
    machine.commanding = false;
    this.told(machine, outcome, askedAt);
    const still = starts.filter((task) => task.on === machine && task.launch.kind === "sending");
    if (outcome.kind === "answer" && (outcome.status === 200 || outcome.status === 409)) {
      for (const task of still) task.launch = outcome.status === 200 ? { kind: "seen" } : launchBefore(task);
      try {
        const report = readReport(parseJson(outcome.body));
        if (report.machine !== machine.name) throw new Error("another machine's report");
        this.observer.observe(machine, report, { kind: "answer", askedAt });
      } catch (error) {
        log.error("malformed answer of a worker", { machine: machine.name, error: String(error) });
        this.lose(machine, token, still);
      }
      machine.commandAfter = (outcome.status === 200 ? clock.now() : clock.now() + RETRY) as Micros;
      if (this.starts(machine).length > 0 || this.standing(machine).length > 0) {
        this.context.wakeCommands(machine);
      }
      return;
    }
    machine.commandAfter = (clock.now() + RETRY) as Micros;
    if (outcome.kind === "unsent") for (const task of still) task.launch = launchBefore(task);
    else this.lose(machine, token, still);
    clock.after(RETRY, () => this.context.wakeCommands(machine));
  }

  /** Asks a worker that has not reported here for its state; its answer renews nothing. */
  async inquire(machine: Machine): Promise<void> {
    const { http, lease, log, clock } = this.context;
    const { address } = machine;
    if (address === null || !lease.valid()) return;
    const askedAt = clock.now();
    const outcome = await http.call(address, { method: "GET", target: "/status", body: "" }, COMMAND_PATIENCE);
    this.told(machine, outcome, askedAt);
    if (outcome.kind !== "answer" || outcome.status !== 200) return;
    try {
      const report = readReport(parseJson(outcome.body));
      if (report.machine !== machine.name) return;
      this.observer.observe(machine, report, { kind: "answer", askedAt });
      if (machine.seenToken < firstToken(lease)) await this.send(machine, true);
    } catch (error) {
      log.error("malformed answer of a worker", { machine: machine.name, error: String(error) });
    }
  }

  /** Whether what is sent there gets there. What fails at once says nothing: it has not left, or nobody listens yet. */
  private told(machine: Machine, outcome: Outcome, askedAt: Micros): void {
    const { clock, overload } = this.context;
    if (outcome.kind === "answer") {
      heardBack(machine.reach, clock.now());
      return;
    }
    if (machine.state !== "up" || clock.now() - askedAt < PROMPT || overload.atLeast("lean")) return;
    gotNothing(machine.reach);
  }

  /**
   * A command got lost on the way and may land minutes later, under this token. From now on the machine is
   * spoken to under a higher one; a report that shows it proves the lost command dead.
   */
  private lose(machine: Machine, token: number, starts: readonly Task[]): void {
    // Stops name an attempt that has been seen: late or twice, they do no harm.
    if (starts.length === 0) return;
    for (const task of starts) task.launch = { kind: "unsure", token };
    machine.fence += 1;
  }

  /** Stops tasks that cannot end well where they are. */
  drain(machine: Machine): void {
    for (const action of decideDrain(machine, this.context.clock.now())) {
      if (action.kind === "gone") this.observer.gone(action.task);
      else action.task.stop = { graceS: action.graceS };
    }
    const leaving = machine.noticeUntil !== null || machine.drain === "returning";
    if (leaving && this.standing(machine).length > 0) this.context.wakeCommands(machine);
  }
}
