/** The record of zones whose workers are not answered, kept for the next leader of a shard. */

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

/** Microseconds beyond the bound on both clocks' errors: for rounding, and for the drift of the steady clocks meanwhile. */
const CLOCK_MARGIN = 50_000;
/** A zone in which a worker was heard is not put on record for so long. */
const RECENTLY_HEARD = seconds(10);

/**
 * Keeps on record since when no worker in a zone has been answered, so that the next leader need not wait a whole lease
 * of the workers from its own beginning: with a zone cut off and the leader lost shortly before the leases expired,
 * replicas were gone for half a minute that nobody started elsewhere.
 *
 * The argument. `since` is no earlier than the last response, by whichever leader, that can have renewed a lease in the
 * zone. While a zone may be on record (from before the write leaves until a write without it is confirmed), no worker there
 * is answered and nothing is started there: `mayAnswer` returns false. A leader that is lost without a confirmed write
 * leaves the record, or its lack, behind as it is; a late write fails on the version of the shard's lease. The next
 * leader takes the zone as on record from its first moment. `since` is time of day, which every controller knows
 * within the bound of the settings; both errors are added to it.
 */
export class UnreachableZones {
  /** Zones that the record may name. */
  private readonly recordedZones = new Set<string>();
  private readonly inheritedSince = new Map<string, Micros>();
  private readonly lastHeardAt = new Map<string, Micros>();
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

  /** Takes over the record of the leader before. */
  private inherit({ epoch, unansweredSinceMs }: UnreachableZonesRecord): void {
    const { wallClock, clock, settings } = this.services;
    // Believed only from the leader just before: one in between may have answered and, of an older version, not known
    // the record, as in a rolling update.
    if (epoch !== this.lease.epoch - 1) return;
    for (const [zone, sinceMs] of Object.entries(unansweredSinceMs)) {
      if (zone === "") continue;
      this.recordedZones.add(zone);
      if (wallClock === null) continue;
      const ago = (wallClock() - sinceMs) * 1_000 - 2 * settings.maxClockError - CLOCK_MARGIN;
      this.inheritedSince.set(zone, (clock.now() - Math.max(0, ago)) as Micros);
    }
    this.desiredZones = new Set(this.recordedZones);
    // To be believed in turn, it has to stand under this leader's own epoch.
    this.mustRewrite = this.recordedZones.size > 0;
    this.writeChanges();
  }

  private get key(): string {
    return unreachableZonesKey(this.lease.shard);
  }

  /** Zones that the leader before left on record. */
  get inheritedZones(): ReadonlySet<string> {
    return new Set(this.inheritedSince.keys());
  }

  /** May workers there be answered, and tasks be started? */
  mayAnswer(zone: string): boolean {
    return !this.recordedZones.has(zone);
  }

  /** No worker there was answered after this time; null where that is not on record. */
  lastAnsweredBefore(zone: string): Micros | null {
    return this.inheritedSince.get(zone) ?? null;
  }

  /** Zones of which nothing is heard now; called again and again. */
  markUnreachable(zones: ReadonlySet<string>): void {
    const { wallClock } = this.services;
    if (wallClock === null) return;
    const now = this.services.clock.now();
    // A machine that has just come up may be all that is heard of a zone of dead ones: put on record again and again,
    // the zone was never answered (seed 4 of the random days).
    // Machines known from the records only have no zone yet: all of them, at the next leader's beginning.
    const quiet = [...zones].filter(
      (zone) => zone !== "" && now - (this.lastHeardAt.get(zone) ?? Number.NEGATIVE_INFINITY) > RECENTLY_HEARD,
    );
    // Those that are on record stay there until a worker in them is heard.
    this.desiredZones = new Set([...this.desiredZones, ...quiet]);
    this.writeChanges();
  }

  /** A worker in the zone has been heard: it is to be answered as soon as the record no longer names it. */
  markReachable(zone: string): void {
    this.lastHeardAt.set(zone, this.services.clock.now());
    if (!this.recordedZones.has(zone)) return;
    this.desiredZones = new Set([...this.desiredZones].filter((other) => other !== zone));
    this.writeChanges();
  }

  /** Writes the record where the zones wanted on it differ from those that may be there; one write at a time. */
  private writeChanges(): void {
    if ((this.isRecordCurrent() && !this.mustRewrite) || this.writing || !this.lease.isValid()) return;
    const { transactions, log } = this.services;
    const { desiredZones } = this;
    this.writing = true;
    // From here on they may be on record: responses stop first.
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
   * Never a deletion: what is not there has version 0 again, and an earlier write without an answer, applied late under
   * that condition, put a zone on record that was being answered. A write of no zones moves the version on.
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
    // One of this controller's own writes without an answer may have been applied; a later try finds its version.
    const { cache } = this.services;
    if (result.kind === "conflict" && (await cache.sync())) this.version = cache.entries.get(this.key)?.version ?? 0;
  }

  private buildRecord(zones: ReadonlySet<string>): UnreachableZonesRecord {
    const { wallClock, clock } = this.services;
    const since: Record<string, number> = {};
    for (const zone of zones) {
      // The leader before may have answered there to its end: without its record, that is this leader's beginning.
      // Counted from the machines heard of alone, a zone that had not been heard yet went on record as silent for ever,
      // and its tasks were started a second time (docs/incidents/silence-record.md).
      let latest: number = this.inheritedSince.get(zone) ?? this.startedAt;
      // One that has never been heard of runs nothing that was started.
      for (const machine of this.machines()) {
        if (machine.zone === zone && machine.state === "up") latest = Math.max(latest, machine.lease.renewedAt);
      }
      const ago = Math.max(0, clock.now() - latest);
      since[zone] = Math.ceil((wallClock?.() ?? 0) - ago / 1_000);
    }
    return { epoch: this.lease.epoch, unansweredSinceMs: since };
  }
}
