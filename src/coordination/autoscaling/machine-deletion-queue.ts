/**
 * Queue of machine deletions, sent to the cloud in batches.
 * @module
 */
import { eventFieldsOf } from "../../cluster/events.js";
import type { Machine } from "../../cluster/machine.js";
import { ms, seconds, sleep } from "../../transport/clock.js";
import { exponentialBackoff, type ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import type { HeartbeatProcessor } from "../workers/heartbeat-processor.js";
import type { CloudClient } from "./cloud-client.js";

/**
 * The cloud's limit on names per deletion request. It rejects a longer list on every retry, so that the machines of a
 * whole zone were never deleted.
 */
export const MAX_DELETIONS_PER_REQUEST = 100;
const MIN_RETRY_DELAY = ms(500);
const MAX_RETRY_DELAY = seconds(5);

/** `urgent`: ahead of the queue, because tasks cannot be started elsewhere until these machines are deleted. */
export type DeletionPriority = "normal" | "urgent";

/**
 * Deletes machines in batches, one request at a time: many small deletion requests used up the cloud's request limit
 * and left none for provisioning during a burst.
 */
export class MachineDeletionQueue {
  private readonly pending: Machine[] = [];
  private deleting = false;
  private stopped = false;

  constructor(
    private readonly context: ShardContext,
    private readonly cloud: CloudClient,
    private readonly heartbeats: HeartbeatProcessor,
  ) {}

  /** Stops after the request in flight. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Marks the machines as being deleted and queues them. The call that starts processing resolves once the queue is
   * empty or stopped, later calls at once.
   */
  async delete(machines: readonly Machine[], priority: DeletionPriority = "normal"): Promise<void> {
    for (const machine of machines) machine.lifecycle.deleting = true;
    if (priority === "urgent") this.pending.unshift(...machines);
    else this.pending.push(...machines);
    if (this.deleting) return;
    this.deleting = true;
    try {
      while (this.pending.length > 0 && !this.stopped)
        await this.deleteBatch(this.pending.splice(0, MAX_DELETIONS_PER_REQUEST));
    } finally {
      this.deleting = false;
    }
  }

  /** Retries the request until it succeeds: only the response proves that the machines and all their tasks are gone. */
  private async deleteBatch(machines: readonly Machine[]): Promise<void> {
    const { clock, lease } = this.context;
    for (let attempt = 0; !this.stopped; attempt += 1) {
      if (lease.isValid()) {
        const reply = await this.cloud.deleteMachines(machines.map((machine) => machine.name));
        if (reply.kind === "ok") break;
      }
      await sleep(clock, exponentialBackoff(attempt, MIN_RETRY_DELAY, MAX_RETRY_DELAY));
    }
    if (!this.stopped) this.removeDeletedMachines(machines);
  }

  private removeDeletedMachines(machines: readonly Machine[]): void {
    const { shard, eventListener, log } = this.context;
    for (const machine of machines) {
      machine.state = "deleted";
      shard.deletedMachines.add(machine.name);
      eventListener?.({ kind: "machine deleted", ...eventFieldsOf(machine) });
      this.heartbeats.handleMachineLoss(machine, "deleted");
      shard.machines.delete(machine.name);
    }
    log.info(LogEvent.MachinesDeleted, { machines: machines.map((machine) => machine.name) });
  }
}
