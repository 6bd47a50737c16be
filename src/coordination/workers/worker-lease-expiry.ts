/** Expires the leases of workers whose heartbeats got no response in time. */

import type { Machine } from "../../cluster/machine.js";
import { seconds } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import type { HeartbeatProcessor } from "./heartbeat-processor.js";
import type { UnreachableZones } from "./unreachable-zones.js";

/** Maximum factor by which a worker's clock may run slower than this one. */
const MAX_CLOCK_DRIFT = 1.002;
/** Time after the end of a worker's lease until its tasks have certainly ended. */
const LEASE_EXPIRY_MARGIN = seconds(0.5);
/** Logged as the reason of lost tasks; tools and tests match this text. */
const LEASE_EXPIRY_REASON = "worker lease over";

/** The expiry's dependencies on its shard and its collaborators. */
export interface WorkerLeaseExpiryDependencies {
  readonly context: Pick<ShardContext, "clock" | "settings" | "shard">;
  readonly heartbeats: Pick<HeartbeatProcessor, "handleLeaseExpiry">;
  readonly unreachableZones: Pick<UnreachableZones, "unansweredSince">;
}

/** Finds the workers whose lease has expired: such a worker has ended all its tasks by itself. */
export class WorkerLeaseExpiry {
  constructor(private readonly dependencies: WorkerLeaseExpiryDependencies) {}

  /** Expires the leases that were not renewed in time; called periodically. */
  expireLeases(): void {
    const { clock, settings, shard } = this.dependencies.context;
    const expiryTime = Math.ceil(settings.workers.lease * MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN;
    const now = clock.now();
    for (const machine of shard.machines.values()) {
      if (machine.counters.incarnation === null) this.applyInheritedLeaseRenewal(machine);
      if (machine.lease.expired) this.loseLateTasks(machine);
      else if (now - machine.lease.renewedAt > expiryTime) this.expireLease(machine);
    }
  }

  private expireLease(machine: Machine): void {
    machine.lease.expired = true;
    // A late heartbeat of the expired incarnation must not restore its tasks in the shard's state.
    if (machine.counters.incarnation !== null) machine.counters.expiredIncarnation = machine.counters.incarnation;
    this.dependencies.heartbeats.handleLeaseExpiry(machine, LEASE_EXPIRY_REASON);
  }

  /** The response to a start command that was in flight may have added a task since the expiry. */
  private loseLateTasks(machine: Machine): void {
    if (machine.tasks.size > 0) this.dependencies.heartbeats.handleLeaseExpiry(machine, LEASE_EXPIRY_REASON);
  }

  /**
   * For a machine without a heartbeat to this leader, limits the time of its last lease renewal to the one recorded by
   * the previous leader.
   */
  private applyInheritedLeaseRenewal(machine: Machine): void {
    const latestRenewalAt = this.dependencies.unreachableZones.unansweredSince(machine.zone);
    if (latestRenewalAt !== null && latestRenewalAt < machine.lease.renewedAt)
      machine.lease.renewedAt = latestRenewalAt;
  }
}
