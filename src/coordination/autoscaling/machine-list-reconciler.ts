/**
 * Reconciles the cloud's list of machines with the shard's.
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

/** Names of deleted machines that are kept although the cloud no longer lists them. */
const MAX_DELETED_NAMES = 500;
/** An unlisted machine is forgotten after its lease, this many list lags and the grace without a heartbeat. */
const UNLISTED_LIST_LAGS = 4;
const UNLISTED_GRACE = seconds(20);

/** Adds machines that the cloud lists, updates those that are known, and forgets those that have surely gone. */
export class MachineListReconciler {
  constructor(
    private readonly context: ShardContext,
    private readonly heartbeats: HeartbeatProcessor,
    private readonly deletions: MachineDeletionQueue,
  ) {}

  /** Takes in a complete list. */
  reconcile(listedMachines: readonly ListedMachine[]): void {
    const { shard } = this.context;
    const listedNames = new Set<string>();
    for (const listed of listedMachines) {
      listedNames.add(listed.name);
      if (!shard.deletedMachines.has(listed.name)) this.applyListedMachine(listed);
    }
    this.forgetUnlisted(listedNames);
    for (const name of shard.deletedMachines)
      if (!listedNames.has(name) && shard.deletedMachines.size > MAX_DELETED_NAMES) shard.deletedMachines.delete(name);
  }

  /**
   * Absence from a list proves little, so it only ends records of machines without tasks that have sent no heartbeat for
   * long.
   */
  private forgetUnlisted(listedNames: ReadonlySet<string>): void {
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
    // After a failover this finds the machines at once, long before their workers have found the new leader.
    if (listed.state === "running" && machine.state === "booting") this.context.queryStatus(machine);
    if (listed.state === "failed" && !machine.lifecycle.deleting) this.machineFailed(machine);
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

  private machineFailed(machine: Machine): void {
    const { eventListener, log } = this.context;
    log.info(LogEvent.MachineFailed, { machine: machine.name });
    eventListener?.({ kind: "machine failed", ...eventFieldsOf(machine) });
    this.heartbeats.machineLost(machine, "failed");
    void this.deletions.delete([machine]);
  }
}
