import type { Machine } from "../bookkeeping/picture.js";
import { readSilence, type SilenceRecord, silenceKey, writeSilence } from "../bookkeeping/records.js";
import type { Whole } from "../protocol/json.js";
import type { Write } from "../protocol/state.js";
import { type Micros, seconds } from "../transport/clock.js";
import type { BlockLease, Services } from "./context.js";

/** Beyond the bound on both clocks' errors: for rounding, and for what the steady clocks drift meanwhile. */
const MARGIN_US = 50_000;
/** A zone in which somebody was heard is not put on record for so long. */
const HEARD_FOR = seconds(10);

/**
 * Keeps on record since when nobody in a zone has been answered, so that the next holder need not wait a whole lease
 * of the workers from its own beginning: with a zone cut off and the holder lost shortly before the leases were over,
 * replicas were gone for half a minute that nobody started elsewhere.
 *
 * The argument. `since` is no earlier than the last answer, by whichever holder, that can have renewed a lease in the
 * zone. While a zone may be on record (from before the write leaves until a write without it is confirmed), nobody there
 * is answered and nothing is started there: `open` says no. A holder that is lost without a confirmed write
 * leaves the record, or its lack, behind as it is; a late one fails on the version of the block's lease. The next
 * holder takes the zone as on record from its first moment. `since` is time of day, which every controller knows
 * within the bound of the settings; both errors are added to it.
 */
export class Silences {
  /** Zones that the record may name. */
  private readonly held = new Set<string>();
  private readonly inherited = new Map<string, Micros>();
  private readonly heardAt = new Map<string, Micros>();
  private wanted: ReadonlySet<string> = new Set();
  private version: Whole;
  private writing = false;
  private renew = false;
  private readonly began: Micros;

  constructor(
    private readonly services: Services,
    private readonly lease: BlockLease,
    private readonly machines: () => Iterable<Machine>,
  ) {
    const { view, wall, clock, settings } = services;
    this.began = clock.now();
    const entry = view.entries.get(this.key);
    this.version = entry?.version ?? 0;
    if (entry === undefined) return;
    const { number, zones } = readSilence(entry.value);
    // Believed only from the holder just before: one in between may have answered and, of an older version, not known
    // the record, as in a rolling update.
    if (number !== lease.number - 1) return;
    for (const [zone, sinceMs] of Object.entries(zones)) {
      if (zone === "") continue;
      this.held.add(zone);
      if (wall === null) continue;
      const ago = (wall() - sinceMs) * 1_000 - 2 * settings.clockError - MARGIN_US;
      this.inherited.set(zone, (clock.now() - Math.max(0, ago)) as Micros);
    }
    this.wanted = new Set(this.held);
    // To be believed in turn, it has to stand under our own number.
    this.renew = this.held.size > 0;
    this.work();
  }

  private get key(): string {
    return silenceKey(this.lease.block);
  }

  /** What the holder before left on record. */
  get inheritedZones(): ReadonlySet<string> {
    return new Set(this.inherited.keys());
  }

  /** May workers there be answered, and tasks be started? */
  open(zone: string): boolean {
    return !this.held.has(zone);
  }

  /** No worker there was answered after this moment; null where that is not on record. */
  answeredBefore(zone: string): Micros | null {
    return this.inherited.get(zone) ?? null;
  }

  /** Zones of which nothing is heard now; called again and again. */
  cut(zones: ReadonlySet<string>): void {
    const { wall } = this.services;
    if (wall === null) return;
    const now = this.services.clock.now();
    // A machine that has just come up may be all that is heard of a zone of dead ones: put on record again and again,
    // the zone was never answered (seed 4 of the random days).
    // Machines known from the records only have no zone yet: all of them, at the next holder's beginning.
    const quiet = [...zones].filter(
      (zone) => zone !== "" && now - (this.heardAt.get(zone) ?? Number.NEGATIVE_INFINITY) > HEARD_FOR,
    );
    // Those that are on record stay there until somebody in them is heard.
    this.wanted = new Set([...this.wanted, ...quiet]);
    this.work();
  }

  /** Somebody in the zone has been heard: it is to be answered as soon as the record no longer names it. */
  heard(zone: string): void {
    this.heardAt.set(zone, this.services.clock.now());
    if (!this.held.has(zone)) return;
    this.wanted = new Set([...this.wanted].filter((other) => other !== zone));
    this.work();
  }

  /** Works off the difference between the zones wanted on record and those that may be there. */
  private work(): void {
    const { lease } = this;
    const { committer, view, log } = this.services;
    const same = this.wanted.size === this.held.size && [...this.wanted].every((zone) => this.held.has(zone));
    if ((same && !this.renew) || this.writing || !lease.valid()) return;
    const { wanted } = this;
    this.writing = true;
    // From here on it may be on record: answers stop first.
    for (const zone of wanted) this.held.add(zone);
    const conditions = new Map([
      [lease.key, lease.version],
      [this.key, this.version],
    ]);
    // Never deleted: what is not there has version 0 again, and an earlier write without an answer, applied late under
    // that condition, put a zone on record that was being answered. A write of no zones moves the version on.
    const write: Write = { kind: "put", key: this.key, value: writeSilence(this.record(wanted)) };
    committer
      .propose(conditions, [write], "cancel")
      .then(async (result) => {
        if (result.kind === "ok") {
          this.version = result.version;
          this.renew = false;
          for (const zone of [...this.held]) if (!wanted.has(zone)) this.held.delete(zone);
          for (const zone of [...this.inherited.keys()]) if (!wanted.has(zone)) this.inherited.delete(zone);
          return;
        }
        // One of our own writes without an answer may have been applied; a later try finds its version.
        if (result.kind === "conflict" && (await view.sync())) {
          this.version = view.entries.get(this.key)?.version ?? 0;
        }
      })
      .catch((error: unknown) => log.error("silence not recorded", { error: String(error) }))
      .finally(() => {
        this.writing = false;
      });
  }

  private record(zones: ReadonlySet<string>): SilenceRecord {
    const { wall, clock } = this.services;
    const since: Record<string, number> = {};
    for (const zone of zones) {
      // Whoever held the block before may have answered there to its end: without its word, that is our beginning.
      // Counted from the machines heard of alone, a zone that had not been heard yet went on record as silent for ever,
      // and its tasks were started a second time (docs/incidents/silence-record.md).
      let latest: number = this.inherited.get(zone) ?? this.began;
      // One that has never been heard of runs nothing that was started.
      for (const machine of this.machines()) {
        if (machine.zone === zone && machine.state === "up") latest = Math.max(latest, machine.leaseBase);
      }
      const ago = Math.max(0, clock.now() - latest);
      since[zone] = Math.ceil((wall?.() ?? 0) - ago / 1_000);
    }
    return { number: this.lease.number, zones: since };
  }
}
