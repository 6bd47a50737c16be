/**
 * Packs tasks into capacity bins, and adds bins for new machines where the existing ones do not suffice.
 * @module
 */
import type { JobSpec } from "../../protocol/job-spec.js";
import { jobAllowsMachine, zoneAllowed } from "../scheduling/eligibility.js";
import { countThatFit, fits, subtractResources } from "../scheduling/placement/bfgp.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import { type CapacityBin, newBin, type ScaleOutReason } from "./capacity-bins.js";
import { type CloudOffers, cheapestOffer, type MachineOffer } from "./cloud-offers.js";

/** The maximum number of tasks of one job that one plan packs. */
const MAX_PACKED_TASKS = 10_000;

/** Tasks of one job that are to be packed. */
export interface PackingDemand {
  readonly reason: ScaleOutReason;
  readonly spec: JobSpec;
  readonly count: number;
  /** The number of the job's tasks by zone; packing adds the packed tasks. */
  readonly zoneCounts: Map<string, number>;
  /** The bins that may have free capacity; default: all bins. */
  readonly openBins?: CapacityBin[];
}

const zoneAndPurchaseOption = ({ zone, spot }: { readonly zone: string; readonly spot: boolean }): string =>
  `${zone}/${spot}`;

const countByZoneAndPurchaseOption = (bins: readonly CapacityBin[]): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const bin of bins) counts.set(zoneAndPurchaseOption(bin), (counts.get(zoneAndPurchaseOption(bin)) ?? 0) + 1);
  return counts;
};

/**
 * The bins of one plan. Packing is first fit and fills a whole bin at a time: iterating over all bins for each task
 * took most of a controller's CPU time.
 */
export class BinPacker {
  constructor(
    private readonly snapshot: SchedulerSnapshot,
    private readonly offers: CloudOffers,
    readonly bins: CapacityBin[],
  ) {}

  /**
   * Packs the tasks into existing bins, and the remaining ones into new bins as far as the cloud has matching offers.
   */
  pack(demand: PackingDemand): void {
    const { spec, openBins = this.bins } = demand;
    let remaining = Math.min(demand.count, MAX_PACKED_TASKS);
    for (const bin of openBins) {
      if (remaining <= 0) return;
      if (bin.free.cpu < spec.demand.cpu || !fits(spec.demand, bin.free)) continue;
      if (jobAllowsMachine(spec, bin.type.name, bin.zone, bin.spot)) remaining -= fillBin(demand, bin, remaining);
    }
    if (remaining > 0) this.packIntoNewBins(demand, remaining);
  }

  private packIntoNewBins(demand: PackingDemand, count: number): void {
    const { snapshot, offers, bins } = this;
    const { spec, zoneCounts, openBins = bins } = demand;
    const binCounts = countByZoneAndPurchaseOption(bins);
    const shareOf = (offer: MachineOffer): number =>
      (binCounts.get(zoneAndPurchaseOption(offer)) ?? 0) / (bins.length + 1);
    for (let remaining = count; remaining > 0; ) {
      const offer = cheapestOffer({ snapshot, offers, spec, count: remaining, zoneCounts, shareOf });
      if (offer === null) return;
      const bin = newBin(offer);
      bins.push(bin);
      if (openBins !== bins) openBins.push(bin);
      binCounts.set(zoneAndPurchaseOption(bin), (binCounts.get(zoneAndPurchaseOption(bin)) ?? 0) + 1);
      remaining -= fillBin(demand, bin, remaining);
      if (!bin.used) return;
    }
  }
}

/**
 * Packs as many of the `remaining` tasks as the bin's free capacity and the job's zone rules allow; returns the number.
 */
const fillBin = ({ spec, zoneCounts, reason }: PackingDemand, bin: CapacityBin, remaining: number): number => {
  if (!zoneAllowed(spec, zoneCounts, bin.zone)) return 0;
  let count = Math.min(remaining, countThatFit(spec.demand, bin.free));
  if (spec.spread) {
    const maxPerZone = Math.ceil(spec.tasks / 2);
    count = Math.min(count, maxPerZone - (zoneCounts.get(bin.zone) ?? 0) - (zoneCounts.get("") ?? 0));
  }
  if (count <= 0) return 0;
  const { cpu, gpu, ram } = spec.demand;
  bin.free = subtractResources(bin.free, { cpu: cpu * count, gpu: gpu * count, ram: ram * count });
  bin.used = true;
  bin.reason ??= reason;
  zoneCounts.set(bin.zone, (zoneCounts.get(bin.zone) ?? 0) + count);
  return count;
};
