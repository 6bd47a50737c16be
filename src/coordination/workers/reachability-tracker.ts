/** Keeps the two-way reachability of workers up to date from their heartbeats, and logs its changes. */

import type { Machine } from "../../cluster/machine.js";
import type { Heartbeat } from "../../protocol/worker.js";
import type { ShardContext } from "../context.js";
import { fencingTokenOf } from "../fencing-token.js";
import { LogEvent } from "../log-events.js";
import type { HeartbeatSource } from "./heartbeat-freshness.js";
import { commandsArrive, isReachable, recordHeartbeat, recordStatusReply, responsesArrive } from "./reachability.js";

/** What the tracker needs of its shard. */
export type ReachabilityContext = Pick<ShardContext, "clock" | "lease" | "log" | "loadShedder" | "scheduleRound">;

/** What verified heartbeats tell of the responses before them, and the log of what follows from it. */
export class ReachabilityTracker {
  constructor(private readonly context: ReachabilityContext) {}

  /** `skipped`: heartbeats before this one went to another controller or got lost. */
  update(machine: Machine, heartbeat: Heartbeat, source: HeartbeatSource, skipped: boolean): void {
    const { lease, loadShedder } = this.context;
    const { reachability } = machine;
    // Answered late by this controller under load, the worker has gone elsewhere.
    if (loadShedder.atLeast("reduced")) return;
    if (source.kind === "status-reply") recordStatusReply(reachability, heartbeat.token, source.askedAt);
    const startProbe =
      source.kind === "status-reply" ? skipped : recordHeartbeat(reachability, heartbeat.token, skipped);
    if (startProbe) reachability.probeToken = fencingTokenOf(lease, machine) + 1;
  }

  /** Logs once that a machine is heard and not reached, and once that it is reached again. */
  logChange(machine: Machine): void {
    const { clock, log } = this.context;
    const reachable = isReachable(machine.reachability);
    if (reachable === (machine.reachability.unreachableSince === null)) return;
    machine.reachability.unreachableSince = reachable ? null : clock.now();
    if (reachable) {
      log.info(LogEvent.WorkerReachable, { machine: machine.name });
      this.context.scheduleRound();
      return;
    }
    log.info(LogEvent.WorkerUnreachable, {
      machine: machine.name,
      commands: commandsArrive(machine.reachability),
      answers: responsesArrive(machine.reachability),
      tasks: machine.tasks.size,
    });
  }
}
