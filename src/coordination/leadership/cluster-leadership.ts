/** Election of the cluster leader, and its assignment of shards to members. */

import type { Uint64 } from "../../protocol/json.js";
import type { KeyValueEntry, WriteOperation } from "../../protocol/key-value-store.js";
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
  encodeShardEpochRecord,
  encodeShardRecord,
  isClusterLeader,
  type ShardRecord,
} from "../../storage/membership-records.js";
import { describeError } from "../../transport/log.js";
import type { Services } from "../context.js";
import { LogEvent } from "../log-events.js";

/**
 * Takes part in the election of the cluster leader and, while elected, assigns shards. Each shard record is attached to
 * the lease of the member that leads the shard, so that no shard is lost when the cluster leader fails.
 */
export class ClusterLeadership {
  private passRunning = false;
  private passRequested = false;

  /** `memberLeaseId`: the lease of this controller's membership; null while it is not a member. */
  constructor(
    private readonly services: Services,
    private readonly incarnation: string,
    private readonly memberLeaseId: () => Uint64 | null,
  ) {}

  /** Label of the member that leads the shard according to the watch cache; null: the shard has no leader. */
  leaderOf(shard: number): string | null {
    const entry = this.services.cache.entries.get(shardKey(shard));
    return entry === undefined ? null : decodeShardRecord(entry.value).label;
  }

  /**
   * Assigns the shards without a leader if this controller is the cluster leader; stands for election if there is no
   * cluster leader. Calls made during a pass lead to one further pass after it.
   */
  async reconcile(): Promise<void> {
    const { cache, settings, log } = this.services;
    if (this.passRunning) {
      // Without a further pass, a change seen during this one would wait for the next lease renewal.
      this.passRequested = true;
      return;
    }
    const leaseId = this.memberLeaseId();
    if (leaseId === null || !cache.loaded) return;
    const ownMember = cache.entries.get(memberKey(settings.label));
    if (ownMember === undefined || decodeMemberRecord(ownMember.value).incarnation !== this.incarnation) return;
    this.passRunning = true;
    this.passRequested = false;
    try {
      const leader = cache.entries.get(CLUSTER_LEADER_KEY);
      if (leader === undefined) await this.electClusterLeader(ownMember, leaseId);
      else if (isClusterLeader(leader.value, this.incarnation)) await this.assignShards(leader);
    } catch (error) {
      log.error(LogEvent.ClusterLeadershipFailed, { error: describeError(error) });
    } finally {
      this.passRunning = false;
    }
    if (this.passRequested) await this.reconcile();
  }

  private async electClusterLeader(ownMember: KeyValueEntry, leaseId: Uint64): Promise<void> {
    const { store, cache, settings, log } = this.services;
    const value = encodeClusterLeaderRecord({ label: settings.label, incarnation: this.incarnation });
    const result = await store.transact(
      new Map([
        [CLUSTER_LEADER_KEY, 0],
        [ownMember.key, ownMember.version],
      ]),
      [{ kind: "put", key: CLUSTER_LEADER_KEY, value, lease: leaseId }],
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
      if (result.kind === "ok") log.info(LogEvent.ShardAssigned, { shard, epoch, leader: record.label });
      await cache.sync();
    }
  }

  /** The member that leads the fewest shards, preferring the cluster leader itself on a tie; null: no members. */
  private chooseShardLeader(): KeyValueEntry | null {
    const { cache, settings } = this.services;
    const shardCounts = new Map<string, number>();
    for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
      const label = this.leaderOf(shard);
      if (label !== null) shardCounts.set(label, (shardCounts.get(label) ?? 0) + 1);
    }
    const members = [...cache.entries.values()].filter((entry) => memberOfKey(entry.key) !== null);
    const load = (entry: KeyValueEntry): number => {
      const label = memberOfKey(entry.key) ?? "";
      return (shardCounts.get(label) ?? 0) - (label === settings.label ? 0.5 : 0);
    };
    return members.sort((a, b) => load(a) - load(b))[0] ?? null;
  }
}
