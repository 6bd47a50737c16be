/** Responses of a shard leader to heartbeats: whether the worker's lease is renewed, and which commands are sent. */
import { createMachine, type Machine } from "../../cluster/machine.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { Command, Heartbeat } from "../../protocol/worker.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import { firstFencingToken, responseTokenOf } from "../fencing-token.js";
import { LogEvent } from "../log-events.js";
import type { CommandDispatcher } from "../workers/command-dispatcher.js";
import { type HeartbeatFreshness, type HeartbeatSource, mayBeOvertaken } from "../workers/heartbeat-freshness.js";
import type { HeartbeatProcessor } from "../workers/heartbeat-processor.js";
import { type LongPolls, longPollTime } from "../workers/long-polls.js";
import { isOneWay } from "../workers/reachability.js";
import { hasRevokedStarts } from "../workers/start-commands.js";
import type { UnreachableZones } from "../workers/unreachable-zones.js";
import type { LeaderState } from "./leader-state.js";
import { type PermittedReplies, pendingStops, permittedReplies } from "./lease-authority.js";

const FROM_HEARTBEAT: HeartbeatSource = { kind: "heartbeat" };
/** From a response that carries the probe token to the status query that checks whether it was delivered. */
const PROBE_VERIFICATION_DELAY = seconds(1);
const NO_WAIT = 0 as Micros;

/** A response to a heartbeat; its delivery renews the worker's lease. */
export interface HeartbeatReply {
  /** The fencing token that the response carries. */
  readonly token: number;
  readonly commands: readonly Command[];
}

/** Collaborators of a `HeartbeatResponder`. */
export interface HeartbeatResponderDependencies {
  readonly context: ShardContext;
  readonly state: Readonly<LeaderState>;
  readonly heartbeats: HeartbeatProcessor;
  readonly commands: CommandDispatcher;
  readonly longPolls: LongPolls;
  readonly unreachableZones: UnreachableZones;
  readonly machineTypes: ReadonlyMap<string, MachineType>;
}

/** Processes the heartbeats of a shard's workers and responds to them. */
export class HeartbeatResponder {
  constructor(private readonly dependencies: HeartbeatResponderDependencies) {}

  /**
   * The response to the heartbeat; null: none may be sent, so that the worker's lease is not renewed. `mayWait`: the
   * response may be held back as a long poll until a task is to be started (`longPollTime`).
   */
  async respond(heartbeat: Heartbeat, mayWait: boolean): Promise<HeartbeatReply | null> {
    if (!this.mayRespondTo(heartbeat)) return null;
    const machine = this.machineOf(heartbeat);
    if (this.isInUnreachableZone(machine)) return null;
    const freshness = this.process(machine, heartbeat);
    if (freshness === null) return null;
    const permitted = this.permittedFor(machine, freshness);
    this.scheduleMessages(machine, permitted);
    if (!permitted.renew) return null;
    const waitTime = mayWait && freshness === "fenced" ? this.waitTimeOf(machine) : NO_WAIT;
    if (waitTime > 0) {
      await this.waitForStarts(machine, waitTime);
      if (!this.mayRespondTo(heartbeat) || !this.dependencies.unreachableZones.mayRespond(machine.zone)) return null;
    }
    this.renewLease(machine);
    // Before the token is read: a start that is not to be repeated raises it.
    const commands = this.commandsFor(machine, heartbeat, permitted, freshness);
    return { token: responseTokenOf(this.dependencies.context.lease, machine), commands };
  }

  private mayRespondTo(heartbeat: Heartbeat): boolean {
    const { context, state } = this.dependencies;
    return !state.stopped && context.lease.isValid() && !context.shard.deletedMachines.has(heartbeat.machine);
  }

  /** Null: the heartbeat looks older than what is known, and its worker does not wait for a response. */
  private process(machine: Machine, heartbeat: Heartbeat): HeartbeatFreshness | null {
    const overtaken = mayBeOvertaken(machine.counters, machine.lease.expired, heartbeat);
    const freshness = this.dependencies.heartbeats.process(machine, heartbeat, FROM_HEARTBEAT);
    return freshness === "suspect" && !overtaken ? null : freshness;
  }

  private renewLease(machine: Machine): void {
    machine.lease.renewedAt = this.dependencies.context.clock.now();
    machine.lease.respondedAt = machine.lease.renewedAt;
    machine.lease.expired = false;
    if (machine.reachability.probeToken !== null) this.verifyProbe(machine);
  }

  /** Extends the long poll if a task was placed during it whose placement is not recorded yet. */
  private async waitForStarts(machine: Machine, waitTime: Micros): Promise<void> {
    const { context, longPolls } = this.dependencies;
    const startedAt = context.clock.now();
    const firstWaitEnd = await longPolls.wait(machine, waitTime);
    const timeLeft = this.waitTimeOf(machine) - (context.clock.now() - startedAt);
    if (firstWaitEnd === "time passed" && timeLeft > 0) await longPolls.wait(machine, timeLeft as Micros);
  }

  /**
   * How long the response may be held back; 0 under load, since timers then fire late and a worker without a response
   * in time would try another controller.
   */
  private waitTimeOf(machine: Machine): Micros {
    const { context, commands } = this.dependencies;
    if (context.loadShedder.atLeast("degraded")) return NO_WAIT;
    if (commands.hasWaitingStarts(machine) || hasRevokedStarts(machine)) return NO_WAIT;
    const now = context.clock.now();
    // A worker whose lease may expire soon, as after a failover, gets its response at once.
    if (now - machine.lease.respondedAt > context.settings.workers.lease / 2) return NO_WAIT;
    return longPollTime(machine, now, context.shard.backlog);
  }

  /** True: no response, as the zone is recorded as unreachable; the heartbeat then marks the zone as reachable. */
  private isInUnreachableZone(machine: Machine): boolean {
    const { context, unreachableZones } = this.dependencies;
    if (unreachableZones.mayRespond(machine.zone)) return false;
    machine.reachability.lastHeartbeatAt = context.clock.now();
    unreachableZones.recordHeartbeatFrom(machine.zone);
    return true;
  }

  private permittedFor(machine: Machine, freshness: HeartbeatFreshness): PermittedReplies {
    const { clock, settings, lease } = this.dependencies.context;
    const { counters } = machine;
    if (freshness !== "unverified") counters.unverifiedSince = null;
    else counters.unverifiedSince ??= clock.now();
    return permittedReplies({
      freshness,
      tokenSeen: counters.highestToken >= firstFencingToken(lease),
      oneWay: isOneWay(machine.reachability),
      unverifiedFor: (clock.now() - (counters.unverifiedSince ?? clock.now())) as Micros,
      workerLease: settings.workers.lease,
    });
  }

  private scheduleMessages(machine: Machine, permitted: PermittedReplies): void {
    const { context, commands } = this.dependencies;
    if (!permitted.command) context.announceFencingToken(machine);
    else if (commands.hasUrgentCommands(machine)) context.scheduleCommands(machine);
  }

  /** Queries the worker for the probe token: its next heartbeat may be a quarter of a lease away. */
  private verifyProbe(machine: Machine): void {
    const { context, state } = this.dependencies;
    machine.reachability.probeSentAt = context.clock.now();
    context.clock.after(PROBE_VERIFICATION_DELAY, () => {
      if (!state.stopped && machine.reachability.probeToken !== null) context.queryStatus(machine);
    });
  }

  /** Starts only in the response to a heartbeat that shows a token which only this leader can have given. */
  private commandsFor(
    machine: Machine,
    heartbeat: Heartbeat,
    permitted: PermittedReplies,
    freshness: HeartbeatFreshness,
  ): readonly Command[] {
    const { context, commands } = this.dependencies;
    const stops = pendingStops(heartbeat.tasks, context.shard.jobs);
    if (!permitted.command) return stops;
    const repeatable = [...commands.repeatableCommands(machine, stops), ...commands.forgetCommands(machine)];
    return freshness === "fenced" ? [...repeatable, ...commands.startsForResponse(machine)] : repeatable;
  }

  private machineOf(heartbeat: Heartbeat): Machine {
    const machine = this.dependencies.context.shard.machines.get(heartbeat.machine) ?? this.addMachine(heartbeat);
    machine.type ??= this.dependencies.machineTypes.get(heartbeat.type) ?? null;
    if (machine.typeName === "") {
      machine.typeName = heartbeat.type;
      machine.zone = heartbeat.zone;
      machine.spot = heartbeat.spot;
    }
    return machine;
  }

  private addMachine(heartbeat: Heartbeat): Machine {
    const { shard, clock, log } = this.dependencies.context;
    const machine = createMachine(
      { name: heartbeat.machine, typeName: heartbeat.type, type: null, zone: heartbeat.zone, spot: heartbeat.spot },
      clock.now(),
    );
    // A delayed heartbeat may name a machine that no longer exists: no capacity until it is confirmed.
    machine.state = "unconfirmed";
    shard.machines.set(heartbeat.machine, machine);
    log.info(LogEvent.MachineReported, { machine: heartbeat.machine });
    return machine;
  }
}
