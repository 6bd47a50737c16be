/** Cluster membership of a controller: its member lease, and the shards assigned to it. */

import type { Uint64 } from "../../protocol/json.js";
import type { KeyValueEntry } from "../../protocol/key-value-store.js";
import { shardLeaseDuration } from "../../settings/shard-lease.js";
import { memberKey, SHARD_COUNT, shardKey } from "../../storage/keys.js";
import {
  decodeMemberRecord,
  decodeShardRecord,
  encodeMemberRecord,
  type ShardRecord,
} from "../../storage/membership-records.js";
import { type Clock, type Micros, ms, seconds, sleep } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";
import type { Services, ShardLease } from "../context.js";
import { LogEvent } from "../log-events.js";
import { ClusterLeadership } from "./cluster-leadership.js";
import { isLeaseValid } from "./lease-authority.js";

const RENEWALS_PER_LEASE = 12;
const JOIN_RETRY_DELAY = ms(100);
/** Leaves the other members time to take over the shards. */
const REJOIN_DELAY = seconds(8);
const CACHE_POLL_INTERVAL = ms(10);
/** Monotonic clocks drift by at most 0.05 %; the rest of the margin allows for late timers. */
const LEASE_SAFETY_MARGIN = seconds(0.5);

interface MemberLease {
  readonly id: Uint64;
  /** When the last successful grant or renewal request was sent. */
  renewedAt: Micros;
}

/** Called when this controller acquires or releases a shard. */
export interface MembershipEvents {
  shardAcquired(lease: ShardLease): void;
  shardReleased(shard: number): void;
}

/**
 * Joins the cluster, renews this controller's member lease, and acquires the shards assigned to it on record. Also runs
 * this controller's part of the cluster leadership (`ClusterLeadership`).
 */
export class Membership {
  private memberLease: MemberLease | null = null;
  private readonly heldShards = new Map<number, ShardLease>();
  private readonly leaseDuration: Micros;
  private earliestJoinAt: Micros = 0 as Micros;
  private readonly clusterLeadership: ClusterLeadership;

  constructor(
    private readonly services: Services,
    private readonly incarnation: string,
    private readonly events: MembershipEvents,
  ) {
    this.leaseDuration = shardLeaseDuration(services.settings);
    this.clusterLeadership = new ClusterLeadership(services, incarnation, () => this.memberLease?.id ?? null);
    services.cache.onChange(() => this.reconcileShards());
  }

  private get clock(): Clock {
    return this.services.clock;
  }

  /** Label of the member that leads the shard according to the watch cache; null: the shard has no leader. */
  leaderOf(shard: number): string | null {
    return this.clusterLeadership.leaderOf(shard);
  }

  /** Joins, then renews the member lease periodically; joins again whenever the lease is lost. */
  async run(): Promise<never> {
    const { log } = this.services;
    for (;;) {
      try {
        if (this.memberLease === null && this.clock.now() < this.earliestJoinAt)
          await sleep(this.clock, JOIN_RETRY_DELAY);
        else if (this.memberLease === null) await this.join();
        else await this.renew(this.memberLease);
        this.reconcileShards();
      } catch (error) {
        log.error(LogEvent.MembershipStepFailed, { error: describeError(error) });
      }
      await sleep(
        this.clock,
        this.memberLease === null ? JOIN_RETRY_DELAY : (Math.floor(this.leaseDuration / RENEWALS_PER_LEASE) as Micros),
      );
    }
  }

  private async join(): Promise<void> {
    const { store, cache, settings, log } = this.services;
    while (!cache.loaded) await sleep(this.clock, CACHE_POLL_INTERVAL);
    const key = memberKey(settings.label);
    const previous = await store.get(key);
    if (previous.kind !== "ok" && previous.kind !== "missing") return;
    if (previous.kind === "ok") {
      // A single process runs under a label, so this is from before a restart. Once it is revoked, the shards are
      // reassigned within seconds; a write of the earlier process still in flight fails on the shard's version.
      const revoked = await store.revokeLease(decodeMemberRecord(previous.value.value).leaseId);
      if (revoked.kind !== "ok" && revoked.kind !== "missing") return;
    }
    const sentAt = this.clock.now();
    const lease = await store.grantLease(this.leaseDuration);
    if (lease.kind !== "ok") return;
    const value = encodeMemberRecord({ leaseId: lease.value, incarnation: this.incarnation });
    const written = await store.transact(new Map([[key, 0]]), [{ kind: "put", key, value, lease: lease.value }]);
    if (written.kind !== "ok") return;
    this.memberLease = { id: lease.value, renewedAt: sentAt };
    log.info(LogEvent.MemberJoined, { label: settings.label, leaseMs: this.leaseDuration / 1_000 });
    await cache.sync();
  }

  private async renew(memberLease: MemberLease): Promise<void> {
    const sentAt = this.clock.now();
    const reply = await this.services.store.renewLease(memberLease.id);
    if (reply.kind === "ok") memberLease.renewedAt = sentAt;
    if (reply.kind !== "missing") return;
    this.services.log.info(LogEvent.MemberLeaseLost);
    this.resign();
  }

  /** For a leader that reaches no workers: releases its shards, and joins again once others had time to take over. */
  async transferLeadership(): Promise<void> {
    const { memberLease } = this;
    if (memberLease === null) return;
    this.resign();
    this.earliestJoinAt = (this.clock.now() + REJOIN_DELAY) as Micros;
    await this.services.store.revokeLease(memberLease.id);
  }

  /** Releases all shards; joining again revokes the old lease, so that shards are reacquired under new epochs. */
  resign(): void {
    this.memberLease = null;
    for (const shard of [...this.heldShards.keys()]) this.release(shard);
  }

  /** Acquires and releases shards until those led here match the recorded assignments. */
  private reconcileShards(): void {
    const { cache, settings } = this.services;
    const member = cache.entries.get(memberKey(settings.label));
    // A join whose response was lost may be applied late, recording a member under a lease that is not renewed. Shards
    // assigned to that member end with its lease, while their validity would be computed from another lease's renewals.
    const isRenewedMember = member !== undefined && decodeMemberRecord(member.value).leaseId === this.memberLease?.id;
    for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
      const entry = cache.entries.get(shardKey(shard));
      const record = entry === undefined ? null : decodeShardRecord(entry.value);
      const assignedHere = record !== null && record.incarnation === this.incarnation && isRenewedMember;
      const heldLease = this.heldShards.get(shard);
      if (heldLease !== undefined && (!assignedHere || heldLease.version !== entry?.version)) this.release(shard);
      if (assignedHere && entry !== undefined && !this.heldShards.has(shard))
        this.acquire(shard, record, entry, this.memberLease);
    }
    void this.clusterLeadership.reconcile();
  }

  private acquire(shard: number, record: ShardRecord, entry: KeyValueEntry, memberLease: MemberLease | null): void {
    if (memberLease === null) return;
    const { cache } = this.services;
    const validDuration = (this.leaseDuration - LEASE_SAFETY_MARGIN - Math.ceil(this.leaseDuration * 0.001)) as Micros;
    const lease: ShardLease = {
      shard,
      epoch: record.epoch,
      key: entry.key,
      version: entry.version,
      isValid: () =>
        isLeaseValid(
          {
            isHolder: this.heldShards.get(shard) === lease,
            renewedAt: memberLease.renewedAt,
            cacheFreshAsOf: cache.freshAsOf,
            duration: validDuration,
          },
          this.clock.now(),
        ),
    };
    this.heldShards.set(shard, lease);
    this.events.shardAcquired(lease);
  }

  /** Also called by the shard leader when a rejected write shows that another member leads the shard. */
  release(shard: number): void {
    if (this.heldShards.delete(shard)) this.events.shardReleased(shard);
  }
}
