/** Membership of a controller: its lease, the election of the cluster leader and the assignment of shards. */

import type { Uint64 } from "../../protocol/json.js";
import type { KeyValueEntry, WriteOperation } from "../../protocol/key-value-store.js";
import { shardLeaseDuration } from "../../settings/shard-lease.js";
import {
  CLUSTER_LEADER_KEY,
  memberKey,
  memberOfKey,
  SHARD_COUNT,
  SHARD_EPOCH_KEY,
  shardKey,
} from "../../storage/keys.js";
import {
  decodeMemberRecord,
  decodeShardEpochRecord,
  decodeShardRecord,
  encodeClusterLeaderRecord,
  encodeMemberRecord,
  encodeShardEpochRecord,
  encodeShardRecord,
  isClusterLeader,
  type ShardRecord,
} from "../../storage/membership-records.js";
import { type Clock, type Micros, ms, seconds, sleep } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";
import type { Services, ShardLease } from "../context.js";
import { LogEvent } from "../log-events.js";
import { isLeaseValid } from "./lease-authority.js";

const RENEWALS_PER_LEASE = 12;
const JOIN_RETRY_DELAY = ms(100);
/** Time for the others to take over what was given up. */
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
 * This controller's member lease, the election of the cluster leader and the assignment of shards. The cluster leader
 * assigns each shard to a member, attached to that member's own lease: losing the cluster leader takes no shard away.
 */
export class Membership {
  private memberLease: MemberLease | null = null;
  private readonly heldShards = new Map<number, ShardLease>();
  private readonly leaseDuration: Micros;
  private earliestJoin: Micros = 0 as Micros;
  private leading = false;
  private leadAgain = false;

  constructor(
    private readonly services: Services,
    private readonly incarnation: string,
    private readonly events: MembershipEvents,
  ) {
    this.leaseDuration = shardLeaseDuration(services.settings);
    services.cache.onChange(() => this.reconcileShards());
  }

  private get clock(): Clock {
    return this.services.clock;
  }

  /** Whose block it is, as far as known; for sending workers there. */
  leaderOf(shard: number): string | null {
    const entry = this.services.cache.entries.get(shardKey(shard));
    return entry === undefined ? null : decodeShardRecord(entry.value).label;
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
      // Ours, from before a restart: there is one process a label. Ended at once, its blocks come back in
      // seconds; a request of it that is still under way fails on the block's version.
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

  /** For a holder that can do nothing with what it holds: lets the others have it before joining again. */
  async transferLeadership(): Promise<void> {
    const { memberLease } = this;
    if (memberLease === null) return;
    this.resign();
    this.earliestJoin = (this.clock.now() + REJOIN_DELAY) as Micros;
    await this.services.store.revokeLease(memberLease.id);
  }

  /** Gives everything up; joining again ends the old grant, so what was held comes back under fresh numbers. */
  resign(): void {
    this.memberLease = null;
    for (const shard of [...this.heldShards.keys()]) this.release(shard);
  }

  /** The difference between the blocks on record and the ones acted for. */
  private reconcileShards(): void {
    const { cache, settings } = this.services;
    const member = cache.entries.get(memberKey(settings.label));
    // A join without an answer, carried out late, puts a member on record under a grant that nobody renews: what is
    // leased to that one ends with that grant, while the right would be counted from another's renewals.
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
    void this.lead();
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

  /** Also called by the holder itself when a write shows that the block has passed on. */
  release(shard: number): void {
    if (this.heldShards.delete(shard)) this.events.shardReleased(shard);
  }

  /** As a leader, lease out what nobody holds; without one, try to become it. */
  private async lead(): Promise<void> {
    const { cache, settings, log } = this.services;
    if (this.leading) {
      // What changes meanwhile must not wait for the next renewal.
      this.leadAgain = true;
      return;
    }
    if (this.memberLease === null || !cache.loaded) return;
    const ownMember = cache.entries.get(memberKey(settings.label));
    if (ownMember === undefined || decodeMemberRecord(ownMember.value).incarnation !== this.incarnation) return;
    this.leading = true;
    this.leadAgain = false;
    try {
      const leader = cache.entries.get(CLUSTER_LEADER_KEY);
      if (leader === undefined) await this.electClusterLeader(ownMember, this.memberLease);
      else if (isClusterLeader(leader.value, this.incarnation)) await this.assignShards(leader);
    } catch (error) {
      log.error(LogEvent.ClusterLeadershipFailed, { error: describeError(error) });
    } finally {
      this.leading = false;
    }
    if (this.leadAgain) await this.lead();
  }

  private async electClusterLeader(ownMember: KeyValueEntry, memberLease: MemberLease): Promise<void> {
    const { store, cache, settings, log } = this.services;
    const value = encodeClusterLeaderRecord({ label: settings.label, incarnation: this.incarnation });
    const result = await store.transact(
      new Map([
        [CLUSTER_LEADER_KEY, 0],
        [ownMember.key, ownMember.version],
      ]),
      [{ kind: "put", key: CLUSTER_LEADER_KEY, value, lease: memberLease.id }],
    );
    if (result.kind === "ok") log.info(LogEvent.ClusterLeaderElected);
    if (result.kind !== "refused") await cache.sync();
  }

  private async assignShards(leader: KeyValueEntry): Promise<void> {
    const { store, cache, log } = this.services;
    for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
      const key = shardKey(shard);
      if (cache.entries.has(key)) continue;
      const member = this.chooseShardLeader();
      if (member === null) return;
      const counter = cache.entries.get(SHARD_EPOCH_KEY);
      const epoch = decodeShardEpochRecord(counter?.value).epoch + 1;
      const { leaseId, incarnation } = decodeMemberRecord(member.value);
      const record: ShardRecord = { label: memberOfKey(member.key) ?? "", incarnation, epoch };
      const writes: WriteOperation[] = [
        { kind: "put", key: SHARD_EPOCH_KEY, value: encodeShardEpochRecord({ epoch }) },
        { kind: "put", key, value: encodeShardRecord(record), lease: leaseId },
      ];
      const result = await store.transact(
        new Map([
          [leader.key, leader.version],
          [member.key, member.version],
          [SHARD_EPOCH_KEY, counter?.version ?? 0],
          [key, 0],
        ]),
        writes,
      );
      if (result.kind === "ok") log.info(LogEvent.ShardAssigned, { block: shard, number: epoch, holder: record.label });
      await cache.sync();
    }
  }

  /** The member with the fewest blocks; the leader itself where it is among them. */
  private chooseShardLeader(): KeyValueEntry | null {
    const { cache, settings } = this.services;
    const count = new Map<string, number>();
    for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
      const label = this.leaderOf(shard);
      if (label !== null) count.set(label, (count.get(label) ?? 0) + 1);
    }
    const members = [...cache.entries.values()].filter((entry) => memberOfKey(entry.key) !== null);
    const load = (entry: KeyValueEntry): number => {
      const label = memberOfKey(entry.key) ?? "";
      return (count.get(label) ?? 0) - (label === settings.label ? 0.5 : 0);
    };
    return members.sort((a, b) => load(a) - load(b))[0] ?? null;
  }
}
