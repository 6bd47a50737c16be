/**
 * Machines as bins into which a scaling plan packs tasks.
 * @module
 */
import type { Machine } from "../../cluster/machine.js";
import type { Resources } from "../../protocol/resources.js";
import { seconds } from "../../transport/clock.js";
import { readyMachines } from "../scheduling/eligibility.js";
import { subtractResources } from "../scheduling/placement/bfgp.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import type { CloudOffers, MachineOffer } from "./cloud-offers.js";

/** A boot is late beyond this multiple of the type's boot time and the grace, in seconds. */
const LATE_BOOT_FACTOR = 1.8;
const LATE_BOOT_GRACE_S = 2;

/** What a machine is provisioned for: waiting tasks, replicas in unreachable zones, or headroom. */
export type ScaleOutReason = "waiting" | "unreachable zone" | "headroom";

/** A machine that is there, on its way, or to be provisioned. */
export interface CapacityBin extends MachineOffer {
  /** Null: not provisioned yet. */
  readonly machine: Machine | null;
  free: Resources;
  used: boolean;
  /** What was packed into it first; null: nothing. */
  reason: ScaleOutReason | null;
}

interface MachineBin extends CapacityBin {
  readonly machine: Machine;
}

/** An empty bin for a machine that has not been provisioned yet. */
export const newBin = ({ type, zone, spot }: MachineOffer): CapacityBin => ({
  type,
  zone,
  spot,
  machine: null,
  free: type.capacity,
  used: false,
  reason: null,
});

/** Machines mostly come in the order of their names already, and sorting thousands in every plan was dear. */
const sortByName = (bins: MachineBin[]): void => {
  const sorted = bins.every((bin, at) => at === 0 || (bins[at - 1] as MachineBin).machine.name < bin.machine.name);
  if (!sorted) bins.sort((a, b) => (a.machine.name < b.machine.name ? -1 : 1));
};

/** Those in use first, spot instances before others: what stays empty at the end can be returned. */
const readyBins = (snapshot: SchedulerSnapshot): MachineBin[] => {
  const groups: [MachineBin[], MachineBin[], MachineBin[], MachineBin[]] = [[], [], [], []];
  for (const machine of readyMachines(snapshot)) {
    const { type, zone, spot } = machine;
    const used = machine.tasks.size > 0;
    const free = subtractResources(type.capacity, machine.load.used);
    groups[(used ? 0 : 2) + (spot ? 0 : 1)]?.push({ type, zone, spot, machine, free, used, reason: null });
  }
  for (const group of groups) sortByName(group);
  return groups.flat();
};

const bootingBins = (snapshot: SchedulerSnapshot): MachineBin[] => {
  const bins: MachineBin[] = [];
  for (const machine of snapshot.shard.machines.values()) {
    const { type, zone, spot } = machine;
    if (type === null || machine.state !== "booting" || machine.lifecycle.deleting) continue;
    const latestBoot = seconds(type.bootS * LATE_BOOT_FACTOR + LATE_BOOT_GRACE_S);
    if (snapshot.now - machine.lifecycle.provisionedAt > latestBoot) continue;
    bins.push({ type, zone, spot, machine, free: type.capacity, used: false, reason: null });
  }
  return bins;
};

/** Ready machines, then machines that boot, then machines that have been requested. */
export const existingBins = (snapshot: SchedulerSnapshot, offers: CloudOffers): CapacityBin[] => {
  const bins: CapacityBin[] = [...readyBins(snapshot), ...bootingBins(snapshot)];
  for (const { offer, count } of offers.pendingRequests) {
    for (let index = 0; index < count; index += 1) bins.push(newBin(offer));
  }
  return bins;
};
