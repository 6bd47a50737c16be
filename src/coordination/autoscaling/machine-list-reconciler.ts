/**
 * Reconciles the shard's machines with the cloud's machine list.
 * @module
 */
import { eventFieldsOf } from "../../cluster/events.js";
import { createMachine, type Machine } from "../../cluster/machine.js";
import type { ListedMachine } from "../../protocol/cloud.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import type { HeartbeatProcessor } from "../workers/heartbeat-processor.js";
import type { MachineDeletionQueue } from "./machine-deletion-queue.js";

/** The number of deleted machine names above which names that the cloud no longer lists are dropped. */
const MAX_DELETED_NAMES = 500;
/**
 * An unlisted machine is removed after this time without a heartbeat: its lease, this many list lags, and the grace.
 */
const UNLISTED_LIST_LAGS = 4;
const UNLISTED_GRACE = seconds(20);

/** Adds and updates machines that the cloud lists, and removes unlisted machines that cannot exist any more. */
export class MachineListReconciler {
  constructor(
    private readonly context: ShardContext,
    private readonly heartbeats: HeartbeatProcessor,
    private readonly deletions: MachineDeletionQueue,
  ) {}

  /** Applies a complete list of the cloud's machines. */
  reconcile(listedMachines: readonly ListedMachine[]): void {
    const { shard } = this.context;
    const listedNames = new Set<string>();
    for (const listed of listedMachines) {
      listedNames.add(listed.name);
      if (!shard.deletedMachines.has(listed.name)) this.applyListedMachine(listed);
    }
    this.removeUnlisted(listedNames);
    for (const name of shard.deletedMachines)
      if (!listedNames.has(name) && shard.deletedMachines.size > MAX_DELETED_NAMES) shard.deletedMachines.delete(name);
  }

  /**
   * Removes unlisted machines. The list lags, so absence alone does not prove that a machine is gone: only machines
   * that have no tasks and have sent no heartbeat for a long time are removed.
   */
  private removeUnlisted(listedNames: ReadonlySet<string>): void {
    const { shard, clock, settings } = this.context;
    const now = clock.now();
    const maxSilence = settings.workers.lease + UNLISTED_LIST_LAGS * settings.cloud.listLag + UNLISTED_GRACE;
    for (const machine of [...shard.machines.values()]) {
      if (listedNames.has(machine.name) || machine.tasks.size > 0) continue;
      const silence = now - Math.max(machine.reachability.lastHeartbeatAt, machine.lifecycle.provisionedAt);
      if (silence > maxSilence) shard.machines.delete(machine.name);
    }
  }

  private applyListedMachine(listed: ListedMachine): void {
    const { shard } = this.context;
    const type = shard.machineTypes().get(listed.type) ?? null;
    const machine = shard.machines.get(listed.name) ?? this.addMachine(listed);
    machine.type = type;
    machine.typeName = listed.type;
    machine.zone = listed.zone;
    machine.spot = listed.spot;
    machine.address ??= listed.address;
    if (machine.state === "unconfirmed") machine.state = "booting";
    // After a failover a status query reaches the worker long before the worker finds the new leader by itself.
    if (listed.state === "running" && machine.state === "booting") this.context.queryStatus(machine);
    if (listed.state === "failed" && !machine.lifecycle.deleting) this.handleFailedMachine(machine);
  }

  private addMachine(listed: ListedMachine): Machine {
    const { shard, clock, log } = this.context;
    const { name, zone, spot } = listed;
    const type = shard.machineTypes().get(listed.type) ?? null;
    const machine = createMachine({ name, typeName: listed.type, type, zone, spot }, clock.now());
    machine.lifecycle.provisionedAt = (clock.now() - seconds(listed.ageS)) as Micros;
    shard.machines.set(name, machine);
    log.info(LogEvent.MachineDiscovered, { machine: name, state: listed.state });
    return machine;
  }

  private handleFailedMachine(machine: Machine): void {
    const { eventListener, log } = this.context;
    log.info(LogEvent.MachineFailed, { machine: machine.name });
    eventListener?.({ kind: "machine failed", ...eventFieldsOf(machine) });
    this.heartbeats.handleMachineLoss(machine, "failed");
    void this.deletions.delete([machine]);
  }
}
