/** Stored record of the zones whose workers get no responses, for the next leader of the shard. */

import type { Machine } from "../../cluster/machine.js";
import type { Uint64 } from "../../protocol/json.js";
import type { WriteOperation } from "../../protocol/key-value-store.js";
import { unreachableZonesKey } from "../../storage/keys.js";
import type { SubmissionResult } from "../../storage/pending-transaction.js";
import {
  decodeUnreachableZones,
  encodeUnreachableZones,
  type UnreachableZonesRecord,
} from "../../storage/unreachable-zones-record.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { Services, ShardLease } from "../context.js";
import { LogEvent } from "../log-events.js";

/** Microseconds added to the error bounds of both clocks, for rounding and for the drift of the monotonic clocks. */
const CLOCK_MARGIN = 50_000;
/** A zone is not recorded as unreachable for this time after a heartbeat from one of its workers. */
const RECENT_HEARTBEAT_TIME = seconds(10);

/**
 * Records since when no worker in a zone has been sent a response, so that the next leader need not wait for a full
 * worker lease from its own start. Without the record, when a zone was cut off and the leader failed shortly before the
 * leases expired, its replicas were missing for half a minute before they were started elsewhere.
 *
 * Safety argument: `since` is no earlier than the last response, by any leader, that can have renewed a lease in the
 * zone. While a zone may be on record (from before the write is sent until a write without the zone is confirmed), no
 * worker there gets a response and no task is started there: `mayRespond` returns false. If a leader fails without a
 * confirmed write, the stored record stays as it is; a late write fails on the version of the shard's lease. The next
 * leader treats the recorded zones as on record from its start. `since` is wall-clock time, which every controller
 * knows within the error bound of the settings; the errors of both clocks are allowed for.
 */
export class UnreachableZones {
  /** Zones that the stored record may contain, including those of an unconfirmed write. */
  private readonly recordedZones = new Set<string>();
  private readonly inheritedSince = new Map<string, Micros>();
  private readonly lastHeartbeatAt = new Map<string, Micros>();
  private desiredZones: ReadonlySet<string> = new Set();
  private version: Uint64;
  private writing = false;
  private mustRewrite = false;
  private readonly startedAt: Micros;

  constructor(
    private readonly services: Services,
    private readonly lease: ShardLease,
    private readonly machines: () => Iterable<Machine>,
  ) {
    this.startedAt = services.clock.now();
    const entry = services.cache.entries.get(this.key);
    this.version = entry?.version ?? 0;
    if (entry !== undefined) this.inherit(decodeUnreachableZones(entry.value));
  }

  /** Takes over the record of the previous leader. */
  private inherit({ epoch, unansweredSinceMs }: UnreachableZonesRecord): void {
    const { wallClock, clock, settings } = this.services;
    // Valid only if written in the directly preceding epoch. A leader in between may run an older version that does not
    // know the record, as in a rolling update, and may have sent responses.
    if (epoch !== this.lease.epoch - 1) return;
    for (const [zone, sinceMs] of Object.entries(unansweredSinceMs)) {
      if (zone === "") continue;
      this.recordedZones.add(zone);
      if (wallClock === null) continue;
      const elapsed = (wallClock() - sinceMs) * 1_000 - 2 * settings.maxClockError - CLOCK_MARGIN;
      this.inheritedSince.set(zone, (clock.now() - Math.max(0, elapsed)) as Micros);
    }
    this.desiredZones = new Set(this.recordedZones);
    // The next leader accepts the record only if it carries this leader's epoch.
    this.mustRewrite = this.recordedZones.size > 0;
    this.writeChanges();
  }

  private get key(): string {
    return unreachableZonesKey(this.lease.shard);
  }

  /** Zones on the previous leader's record, as far as still on record. */
  get inheritedZones(): ReadonlySet<string> {
    return new Set(this.inheritedSince.keys());
  }

  /** Whether workers in the zone may be sent responses and start commands. */
  mayRespond(zone: string): boolean {
    return !this.recordedZones.has(zone);
  }

  /** Time after which previous leaders sent no response to a worker in the zone; null if there is no such record. */
  unansweredSince(zone: string): Micros | null {
    return this.inheritedSince.get(zone) ?? null;
  }

  /** Puts silent zones on record. Called periodically, which also retries failed writes. */
  markUnreachable(zones: ReadonlySet<string>): void {
    const { wallClock } = this.services;
    if (wallClock === null) return;
    const now = this.services.clock.now();
    // In a zone of dead machines, a machine that has just come up may be the only one that sends heartbeats. If the
    // zone were put on record again after each of them, that machine would never get a response.
    // Machines known only from stored records have no zone yet; for a new leader these are all machines.
    const newZones = [...zones].filter(
      (zone) =>
        zone !== "" && now - (this.lastHeartbeatAt.get(zone) ?? Number.NEGATIVE_INFINITY) > RECENT_HEARTBEAT_TIME,
    );
    // Zones on record stay there until a heartbeat of one of their workers is received.
    this.desiredZones = new Set([...this.desiredZones, ...newZones]);
    this.writeChanges();
  }

  /** Takes the zone off the record after a heartbeat from it; responses resume once that write is confirmed. */
  recordHeartbeatFrom(zone: string): void {
    this.lastHeartbeatAt.set(zone, this.services.clock.now());
    if (!this.recordedZones.has(zone)) return;
    this.desiredZones = new Set([...this.desiredZones].filter((other) => other !== zone));
    this.writeChanges();
  }

  /** Writes the record if the desired zones differ from those possibly on record; one write at a time. */
  private writeChanges(): void {
    if ((this.isRecordCurrent() && !this.mustRewrite) || this.writing || !this.lease.isValid()) return;
    const { transactions, log } = this.services;
    const { desiredZones } = this;
    this.writing = true;
    // The zones may be on record as soon as the write is sent, so responses stop before it.
    for (const zone of desiredZones) this.recordedZones.add(zone);
    transactions
      .submit(this.writeConditions(), [this.writeOperation(desiredZones)], "cancellation")
      .then((result) => this.handleWriteResult(result, desiredZones))
      .catch((error: unknown) => log.error(LogEvent.UnreachableZonesRecordFailed, { error: String(error) }))
      .finally(() => {
        this.writing = false;
      });
  }

  private isRecordCurrent(): boolean {
    const { desiredZones, recordedZones } = this;
    return desiredZones.size === recordedZones.size && [...desiredZones].every((zone) => recordedZones.has(zone));
  }

  private writeConditions(): ReadonlyMap<string, Uint64> {
    return new Map([
      [this.lease.key, this.lease.version],
      [this.key, this.version],
    ]);
  }

  /**
   * Returns a put also for an empty record. A deleted key has version 0 again, so an earlier write with unknown outcome
   * could still satisfy its condition on that version and, applied late, put a zone on record that gets responses.
   */
  private writeOperation(zones: ReadonlySet<string>): WriteOperation {
    return { kind: "put", key: this.key, value: encodeUnreachableZones(this.buildRecord(zones)) };
  }

  private async handleWriteResult(result: SubmissionResult, writtenZones: ReadonlySet<string>): Promise<void> {
    if (result.kind === "ok") {
      this.version = result.version;
      this.mustRewrite = false;
      for (const zone of [...this.recordedZones]) if (!writtenZones.has(zone)) this.recordedZones.delete(zone);
      for (const zone of [...this.inheritedSince.keys()]) if (!writtenZones.has(zone)) this.inheritedSince.delete(zone);
      return;
    }
    // An earlier write of this controller with unknown outcome may have been applied; retries use the version it left.
    const { cache } = this.services;
    if (result.kind === "conflict" && (await cache.sync())) this.version = cache.entries.get(this.key)?.version ?? 0;
  }

  private buildRecord(zones: ReadonlySet<string>): UnreachableZonesRecord {
    const { wallClock, clock } = this.services;
    const since: Record<string, number> = {};
    for (const zone of zones) {
      // Without an inherited record, the previous leader may have sent responses until this leader's start. If only
      // machines with a heartbeat counted, a zone without any so far would be recorded as silent since the beginning of
      // time, and its tasks would be started a second time (docs/incidents/silence-record.md).
      let lastResponseAt: number = this.inheritedSince.get(zone) ?? this.startedAt;
      // A machine without a heartbeat to this leader runs no task started by this leader.
      for (const machine of this.machines()) {
        if (machine.zone === zone && machine.state === "up")
          lastResponseAt = Math.max(lastResponseAt, machine.lease.renewedAt);
      }
      const elapsed = Math.max(0, clock.now() - lastResponseAt);
      since[zone] = Math.ceil((wallClock?.() ?? 0) - elapsed / 1_000);
    }
    return { epoch: this.lease.epoch, unansweredSinceMs: since };
  }
}
