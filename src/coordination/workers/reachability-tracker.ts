/** Updates the two-way reachability of workers from their heartbeats and status replies, and logs its changes. */

import type { Machine } from "../../cluster/machine.js";
import type { Heartbeat } from "../../protocol/worker.js";
import type { ShardContext } from "../context.js";
import { fencingTokenOf } from "../fencing-token.js";
import { LogEvent } from "../log-events.js";
import type { HeartbeatSource } from "./heartbeat-freshness.js";
import { commandsArrive, isReachable, recordHeartbeat, recordStatusReply, responsesArrive } from "./reachability.js";

/** The parts of the shard context that the tracker uses. */
export type ReachabilityContext = Pick<ShardContext, "clock" | "lease" | "log" | "loadShedder" | "scheduleRound">;

/** Concludes from verified heartbeats whether earlier responses were delivered, and logs changes of reachability. */
export class ReachabilityTracker {
  constructor(private readonly context: ReachabilityContext) {}

  /** `missedHeartbeats`: heartbeats before this one went to another controller or were lost. */
  update(machine: Machine, heartbeat: Heartbeat, source: HeartbeatSource, missedHeartbeats: boolean): void {
    const { lease, loadShedder } = this.context;
    const { reachability } = machine;
    // Under load this controller responds late, and workers try another one although responses are delivered.
    if (loadShedder.atLeast("reduced")) return;
    if (source.kind === "status-reply") recordStatusReply(reachability, heartbeat.token, source.requestedAt);
    const startProbe =
      source.kind === "status-reply"
        ? missedHeartbeats
        : recordHeartbeat(reachability, heartbeat.token, missedHeartbeats);
    if (startProbe) reachability.probeToken = fencingTokenOf(lease, machine) + 1;
  }

  /** Logs once when a machine that sends heartbeats becomes unreachable, and once when it is reachable again. */
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
