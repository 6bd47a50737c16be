/** Membership of a controller: its member lease, and the shards that are assigned to it. */

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
/** Time for the other members to take over the shards. */
const REJOIN_DELAY = seconds(8);
const CACHE_POLL_INTERVAL = ms(10);
/** Steady clocks drift by half a thousandth at most; the rest is for slow timers. */
const LEASE_SAFETY_MARGIN = seconds(0.5);

interface MemberLease {
  readonly id: Uint64;
  /** When the request was sent that last renewed it. */
  renewedAt: Micros;
}

/** Told when this controller begins or ends leading a shard. */
export interface MembershipEvents {
  shardAcquired(lease: ShardLease): void;
  shardReleased(shard: number): void;
}

/**
 * Joins, renews this controller's member lease, and leads the shards that the records assign to it. Beside that it takes
 * part in the cluster's leadership (`ClusterLeadership`).
 */
export class Membership {
  private memberLease: MemberLease | null = null;
  private readonly heldShards = new Map<number, ShardLease>();
  private readonly leaseDuration: Micros;
  private earliestJoin: Micros = 0 as Micros;
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

  /** Label of the member that leads the shard, as far as is known here; null: nobody does. */
  leaderOf(shard: number): string | null {
    return this.clusterLeadership.leaderOf(shard);
  }

  async run(): Promise<never> {
    const { log } = this.services;
    for (;;) {
      try {
        if (this.memberLease === null && this.clock.now() < this.earliestJoin)
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
    const old = await store.get(key);
    if (old.kind !== "ok" && old.kind !== "missing") return;
    if (old.kind === "ok") {
      // This label's, from before a restart: there is one process a label. Revoked at once, its shards are assigned
      // again within seconds; a request of the earlier process that is still under way fails on the shard's version.
      const ended = await store.revokeLease(decodeMemberRecord(old.value.value).leaseId);
      if (ended.kind !== "ok" && ended.kind !== "missing") return;
    }
    const sent = this.clock.now();
    const lease = await store.grantLease(this.leaseDuration);
    if (lease.kind !== "ok") return;
    const value = encodeMemberRecord({ leaseId: lease.value, incarnation: this.incarnation });
    const written = await store.transact(new Map([[key, 0]]), [{ kind: "put", key, value, lease: lease.value }]);
    if (written.kind !== "ok") return;
    this.memberLease = { id: lease.value, renewedAt: sent };
    log.info(LogEvent.MemberJoined, { label: settings.label, leaseMs: this.leaseDuration / 1_000 });
    await cache.sync();
  }

  private async renew(memberLease: MemberLease): Promise<void> {
    const sent = this.clock.now();
    const reply = await this.services.store.renewLease(memberLease.id);
    if (reply.kind === "ok") memberLease.renewedAt = sent;
    if (reply.kind !== "missing") return;
    this.services.log.info(LogEvent.MemberLeaseLost);
    this.resign();
  }

  /** For a leader that can do nothing with its shards: lets the other members lead them before it joins again. */
  async transferLeadership(): Promise<void> {
    const { memberLease } = this;
    if (memberLease === null) return;
    this.resign();
    this.earliestJoin = (this.clock.now() + REJOIN_DELAY) as Micros;
    await this.services.store.revokeLease(memberLease.id);
  }

  /** Releases all shards; joining again revokes the old lease, so that shards come back under fresh epochs. */
  resign(): void {
    this.memberLease = null;
    for (const shard of [...this.heldShards.keys()]) this.release(shard);
  }

  /** Works off the difference between the shards assigned on record and the ones led here. */
  private reconcileShards(): void {
    const { cache, settings } = this.services;
    const member = cache.entries.get(memberKey(settings.label));
    // A join without a response, carried out late, records a member under a lease that nobody renews: what is assigned
    // to that member ends with that lease, while the shard's lease would be counted from another one's renewals.
    const renewed = member !== undefined && decodeMemberRecord(member.value).leaseId === this.memberLease?.id;
    for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
      const entry = cache.entries.get(shardKey(shard));
      const record = entry === undefined ? null : decodeShardRecord(entry.value);
      const mine = record !== null && record.incarnation === this.incarnation && renewed;
      const held = this.heldShards.get(shard);
      if (held !== undefined && (!mine || held.version !== entry?.version)) this.release(shard);
      if (mine && entry !== undefined && !this.heldShards.has(shard))
        this.acquire(shard, record, entry, this.memberLease);
    }
    void this.clusterLeadership.lead();
  }

  private acquire(shard: number, record: ShardRecord, entry: KeyValueEntry, memberLease: MemberLease | null): void {
    if (memberLease === null) return;
    const { cache } = this.services;
    const span = (this.leaseDuration - LEASE_SAFETY_MARGIN - Math.ceil(this.leaseDuration * 0.001)) as Micros;
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
            duration: span,
          },
          this.clock.now(),
        ),
    };
    this.heldShards.set(shard, lease);
    this.events.shardAcquired(lease);
  }

  /** Also called by the shard's leader itself when a write shows that another member leads the shard. */
  release(shard: number): void {
    if (this.heldShards.delete(shard)) this.events.shardReleased(shard);
  }
}
