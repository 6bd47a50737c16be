/** Runs every order of events of one worker, one task and its successive leaders through the production code. */
import type { Machine } from "../../src/cluster/machine.js";
import type { ShardState } from "../../src/cluster/shard-state.js";
import type { Task } from "../../src/cluster/task.js";
import type { ShardContext } from "../../src/coordination/context.js";
import { firstFencingToken, responseTokenOf } from "../../src/coordination/fencing-token.js";
import { isStartAnswered } from "../../src/coordination/workers/answered-starts.js";
import { CommandDispatcher } from "../../src/coordination/workers/command-dispatcher.js";
import { mayBeOvertaken } from "../../src/coordination/workers/heartbeat-freshness.js";
import { HeartbeatProcessor } from "../../src/coordination/workers/heartbeat-processor.js";
import { json } from "../../src/model/index.js";
import type { Heartbeat, TaskStatus } from "../../src/protocol/worker.js";
import type { Micros } from "../../src/transport/clock.js";
import type { HttpOutcome } from "../../src/transport/http.js";
import { makeShard, placedTask, report } from "../shard-fixtures.js";
import { DirectStartDispatcher } from "./direct-start-dispatcher.js";

const REPORT = { kind: "heartbeat" } as const;

/** Resets the machine to what a new leader knows of it: its name only. */
export const unknown = (machine: Machine): void => {
  machine.state = "booting";
  Object.assign(machine.counters, { incarnation: null, highestToken: 0, verified: false });
};

export const ACTIONS = [
  "report",
  "report, no answer",
  "oldest copy",
  "latest copy",
  "ask",
  "command",
  "command, no answer",
  "command late",
  "late command lands",
  "command repeated",
  "to be stopped",
  "incarnation changes",
  "counters reset",
  "failover",
] as const;
export type Action = (typeof ACTIONS)[number];

interface Order {
  readonly token: number;
  readonly session: number;
  readonly commands: readonly { readonly verb: string; readonly shard: string }[];
}

/** A minimal worker: incarnation, sequence, fencing token and attempts, as the protocol defines them. */
class TinyWorker {
  session = 1;
  tick = 0;
  token = 0;
  /** Its attempts by task; a stopped one is kept until a forget command. */
  readonly known = new Map<string, "running" | "exited">();

  get runs(): boolean {
    return [...this.known.values()].includes("running");
  }

  report(): Heartbeat {
    this.tick += 1;
    const tasks = [...this.known].map(([task, state]): TaskStatus => {
      return { task, attempt: 1, state, reason: state === "exited" ? "stopped" : null };
    });
    return report({ incarnation: this.session, sequence: this.tick, token: this.token, tasks });
  }

  execute(order: Order): boolean {
    if (order.token < this.token || order.session !== this.session) return false;
    this.token = order.token;
    for (const { verb, shard } of order.commands) {
      const state = this.known.get(shard);
      if (verb === "launch" && state === undefined) this.known.set(shard, "running");
      if (verb === "halt" && state === "running") this.known.set(shard, "exited");
      if (verb === "forget" && state === "exited") this.known.delete(shard);
    }
    return true;
  }
}

const wire = (said: Heartbeat): string =>
  JSON.stringify({
    host: said.machine,
    addr: said.address,
    flavor: said.type,
    area: said.zone,
    tenure: said.incarnation,
    tick: said.sequence,
    baton: said.token,
    shards: said.tasks.map(({ task, attempt, state }) => ({
      shard: task,
      try: attempt,
      phase: state,
      ...(state === "exited" ? { cause: "halted" } : {}),
    })),
  });

/** Which starts may be delivered after a counter reset that followed the release of their task. */
export interface LateStarts {
  /** Those of an earlier leader without a response. */
  readonly inherited: boolean;
  /** Copies of those that were executed and answered. */
  readonly answered: boolean;
}

/** The record of answered starts at a failover: always up to date, or none (after a leader of an older version). */
export type AnsweredStartsOnRecord = "up to date" | "none";

/** Which leaders start tasks by direct commands, as those of the previous version do. */
export type DirectStarts = "none" | "first leader" | "all leaders";

export type HeartbeatWrapper = (
  heartbeats: HeartbeatProcessor,
  machine: Machine,
  shard: ShardState,
) => HeartbeatProcessor;

/** Runs one order of events through the production code for heartbeats, task lists and commands. */
export class Play {
  readonly worker = new TinyWorker();
  private readonly past: Heartbeat[] = [];
  private readonly late: Order[] = [];
  private carriedOut: Order | null = null;
  private number = 0;
  private fate: "ok" | "no answer" | "late" = "ok";
  private now = 0;
  private context!: ShardContext;
  private machine!: Machine;
  private task!: Task;
  private heartbeats!: HeartbeatProcessor;
  private commands!: CommandDispatcher;
  private freed = false;
  private answeredOnRecord = false;

  constructor(
    private readonly believe: HeartbeatWrapper = (heartbeats) => heartbeats,
    private readonly delivers: LateStarts = { inherited: true, answered: false },
    private readonly onRecord: AnsweredStartsOnRecord = "up to date",
    private readonly directStarts: DirectStarts = "none",
    private readonly beforeForgetting: (dispatcher: DirectStartDispatcher, machine: Machine) => void = () => undefined,
  ) {
    this.hold(null);
  }

  private hold(startCommand: Task["startCommand"] | null): void {
    this.number += 1;
    const { shard, context, taskStates, world } = makeShard(1);
    world.now = this.now;
    const lease = { ...context.lease, epoch: this.number };
    Object.assign(context, {
      lease,
      clock: { ...context.clock, now: () => this.now as Micros, after: () => ({ cancel: () => undefined }) },
      http: { call: async (_: string, { target, body }: { target: string; body: string }) => this.call(target, body) },
      announceFencingToken: () => undefined,
    });
    this.context = context;
    this.machine = [...shard.machines.values()][0] as Machine;
    unknown(this.machine);
    this.task = placedTask(shard, this.machine);
    this.task.startCommand = startCommand ?? { kind: "none" };
    // According to the records it has been placed elsewhere since.
    if (this.freed) shard.releaseTask(this.task);
    this.heartbeats = this.believe(new HeartbeatProcessor(context, taskStates), this.machine, shard);
    this.commands = this.createDispatcher(shard);
  }

  private createDispatcher(shard: ShardState): CommandDispatcher {
    const startsDirectly = this.directStarts === "all leaders" || (this.directStarts !== "none" && this.number === 1);
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
    const order = { token: baton, session: tenure, commands: orders };
    if (this.fate === "late") {
      this.late.push(order);
      return { kind: "lost" };
    }
    const done = this.worker.execute(order);
    if (done && orders.some(({ verb }) => verb === "launch")) this.carriedOut = order;
    return this.fate === "no answer" ? { kind: "lost" } : this.answer(done ? 200 : 409);
  }

  private answer(status: number): HttpOutcome {
    return { kind: "answer", retryAfterS: null, ...json(status, {}), body: wire(this.worker.report()) };
  }

  private deliver(said: Heartbeat, answered: boolean): void {
    const overtaken = mayBeOvertaken(this.machine.counters, this.machine.lease.expired, said);
    const freshness = this.heartbeats.process(this.machine, said, REPORT);
    if (!answered || (freshness === "suspect" && !overtaken)) return;
    // The response as the leader builds it: repeatable commands and forget commands, under one token.
    const trusted =
      this.machine.counters.highestToken >= firstFencingToken(this.context.lease) && freshness !== "unverified";
    if (this.commands instanceof DirectStartDispatcher) this.beforeForgetting(this.commands, this.machine);
    const own = trusted
      ? [...this.commands.repeatableCommands(this.machine), ...this.commands.forgetCommands(this.machine)]
      : [];
    // As in the leader, starts only in the response to a heartbeat that shows the leader's own token.
    const starts = freshness === "fenced" ? this.commands.startsForResponse(this.machine) : [];
    const verbs = { start: "launch", stop: "halt", forget: "forget" } as const;
    const commands = [...own, ...starts].map(({ op, task }) => ({ verb: verbs[op], shard: task }));
    this.worker.execute({
      token: responseTokenOf(this.context.lease, this.machine),
      session: Number(said.incarnation),
      commands,
    });
  }

  async step(action: Action): Promise<void> {
    this.now += 2_000_000;
    const { worker } = this;
    switch (action) {
      case "report":
      case "report, no answer": {
        const said = worker.report();
        this.past.push(said);
        this.deliver(said, action === "report");
        break;
      }
      case "oldest copy":
      case "latest copy": {
        const said = action === "oldest copy" ? this.past[0] : this.past.at(-1);
        if (said !== undefined) this.deliver(said, false);
        break;
      }
      case "ask":
        this.fate = "ok";
        await this.commands.queryStatus(this.machine);
        break;
      case "command":
      case "command, no answer":
      case "command late":
        this.fate = action === "command" ? "ok" : action === "command late" ? "late" : "no answer";
        await this.commands.send(this.machine, true);
        break;
      case "late command lands": {
        const order = this.late.shift();
        if (order !== undefined) worker.execute(order);
        break;
      }
      case "command repeated":
        if (this.carriedOut !== null) worker.execute(this.carriedOut);
        break;
      case "incarnation changes":
        worker.session += 1;
        worker.known.clear();
        break;
      case "to be stopped":
        if (this.task.machine !== null) this.task.stopRequest = { graceS: 0 };
        break;
      case "counters reset":
        Object.assign(worker, { session: 1, tick: 0, token: 0 });
        worker.known.clear();
        // A task released earlier cannot be fenced against a later counter reset (docs/heartbeat-evidence.md). A start
        // without a response prevents the release of its task, whichever leader sent it. Copies of answered starts are
        // assumed not to be delivered any more; tests with `LateStarts.answered` drop this assumption.
        if (this.freed && this.number > 1 && !this.delivers.inherited) this.late.length = 0;
        if (this.freed && !this.delivers.answered) this.carriedOut = null;
        break;
      case "failover": {
        this.hold({ kind: "uncertain", token: firstFencingToken(this.context.lease) + 65_535 });
        if (this.answeredOnRecord) this.context.shard.confirmStart(this.task);
      }
    }
    if (this.onRecord === "up to date" && isStartAnswered(this.task, this.now as Micros)) {
      this.context.shard.confirmStart(this.task);
      this.answeredOnRecord = true;
    }
    if (this.task.machine === null && this.task.earliestStart <= this.now) {
      this.freed = true;
      // The release is recorded before the task is started elsewhere.
      this.task.recorded = this.task.desired;
    }
    // Once released it is started elsewhere: from then on it must not run here, whatever is still delivered.
    if (this.freed && worker.runs) throw new Error("runs where it was called gone");
  }
}

/** Faults need a start command that has been sent: every order begins with one of these ways to send it. */
export const BEGINNINGS: readonly (readonly Action[])[] = [
  ["report", "report", "command"],
  ["report", "report", "command, no answer"],
  ["report", "report", "command late"],
  ["report", "report", "incarnation changes", "report", "command"],
  ["report", "report", "command", "report", "to be stopped", "report", "report"],
  ["report", "report", "command", "counters reset", "report", "report"],
  ["report", "report", "command late", "report", "command", "to be stopped", "report"],
  ["report", "report", "command late", "incarnation changes", "report", "report"],
];

export const playOrder = async (play: Play, order: readonly Action[]): Promise<string | null> => {
  for (const [at, action] of order.entries()) {
    try {
      await play.step(action);
    } catch (error) {
      return `${order.slice(0, at + 1).join(", ")}: ${(error as Error).message}`;
    }
  }
  return null;
};

/** Runs every order of `free` events after each of the prefixes, up to the first fault. */
export const explore = async (free: number, make: () => Play): Promise<{ plays: number; broken: string | null }> => {
  let plays = 0;
  const visit = async (path: readonly Action[], left: number): Promise<string | null> => {
    if (left > 0) {
      for (const action of ACTIONS) {
        const broken = await visit([...path, action], left - 1);
        if (broken !== null) return broken;
      }
      return null;
    }
    plays += 1;
    return playOrder(make(), path);
  };
  let broken: string | null = null;
  for (const path of BEGINNINGS) broken ??= await visit(path, free);
  return { plays, broken };
};
