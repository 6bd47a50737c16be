/** A minimal worker for explorations of event orders, and the form of its status on the wire. */
import type { Heartbeat, TaskStatus } from "../../src/protocol/worker.js";
import { makeHeartbeat } from "../shard-fixtures.js";

/** Commands to the worker, as a direct request or as the response to a heartbeat. */
export interface CommandRequest {
  readonly token: number;
  readonly incarnation: number;
  readonly commands: readonly { readonly verb: string; readonly shard: string }[];
}

/** A minimal worker: incarnation, sequence, fencing token and attempts, as the protocol defines them. */
export class WorkerModel {
  incarnation = 1;
  sequence = 0;
  token = 0;
  /** Its attempts by task; a stopped one is kept until a forget command. */
  readonly attempts = new Map<string, "running" | "exited">();

  get isRunning(): boolean {
    return [...this.attempts.values()].includes("running");
  }

  report(): Heartbeat {
    this.sequence += 1;
    const tasks = [...this.attempts].map(([task, state]): TaskStatus => {
      return { task, attempt: 1, state, reason: state === "exited" ? "stopped" : null };
    });
    return makeHeartbeat({ incarnation: this.incarnation, sequence: this.sequence, token: this.token, tasks });
  }

  execute(request: CommandRequest): boolean {
    if (request.token < this.token || request.incarnation !== this.incarnation) return false;
    this.token = request.token;
    for (const { verb, shard } of request.commands) {
      const state = this.attempts.get(shard);
      if (verb === "launch" && state === undefined) this.attempts.set(shard, "running");
      if (verb === "halt" && state === "running") this.attempts.set(shard, "exited");
      if (verb === "forget" && state === "exited") this.attempts.delete(shard);
    }
    return true;
  }
}

/** The body of a reply to a status query or command. */
export const encodeStatus = (heartbeat: Heartbeat): string =>
  JSON.stringify({
    host: heartbeat.machine,
    addr: heartbeat.address,
    flavor: heartbeat.type,
    area: heartbeat.zone,
    tenure: heartbeat.incarnation,
    tick: heartbeat.sequence,
    baton: heartbeat.token,
    shards: heartbeat.tasks.map(({ task, attempt, state }) => ({
      shard: task,
      try: attempt,
      phase: state,
      ...(state === "exited" ? { cause: "halted" } : {}),
    })),
  });
