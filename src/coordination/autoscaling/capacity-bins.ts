/**
 * Capacity bins: the existing, booting and requested machines into which a scale plan packs tasks.
 * @module
 */
import type { Machine } from "../../cluster/machine.js";
import type { Resources } from "../../protocol/resources.js";
import { seconds } from "../../transport/clock.js";
import { readyMachines } from "../scheduling/eligibility.js";
import { subtractResources } from "../scheduling/placement/bfgp.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import type { CloudOffers, MachineOffer } from "./cloud-offers.js";

/** A boot is late after the type's boot time times this factor, plus the grace in seconds. */
const LATE_BOOT_FACTOR = 1.8;
const LATE_BOOT_GRACE_S = 2;

/** Why a machine is provisioned: for waiting tasks, to replace replicas in unreachable zones, or as headroom. */
export type ScaleOutReason = "waiting" | "unreachable zone" | "headroom";

/** The capacity of a machine that exists, has been requested, or is to be provisioned. */
export interface CapacityBin extends MachineOffer {
  /** Null: the machine has not been provisioned yet. */
  readonly machine: Machine | null;
  free: Resources;
  used: boolean;
  /** The reason of the first tasks packed into the bin; null: none were. */
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

/**
 * Sorts only where needed: machines mostly are in name order already, and sorting thousands in every plan was
 * expensive.
 */
const sortByName = (bins: MachineBin[]): void => {
  const sorted = bins.every((bin, at) => at === 0 || (bins[at - 1] as MachineBin).machine.name < bin.machine.name);
  if (!sorted) bins.sort((a, b) => (a.machine.name < b.machine.name ? -1 : 1));
};

/** Machines in use come first, spot instances before on-demand ones, so that machines left empty can be returned. */
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
    const maxBootTime = seconds(type.bootS * LATE_BOOT_FACTOR + LATE_BOOT_GRACE_S);
    if (snapshot.now - machine.lifecycle.provisionedAt > maxBootTime) continue;
    bins.push({ type, zone, spot, machine, free: type.capacity, used: false, reason: null });
  }
  return bins;
};

/** Bins of the ready machines, then of those that are booting on time, then of those that have been requested. */
export const existingBins = (snapshot: SchedulerSnapshot, offers: CloudOffers): CapacityBin[] => {
  const bins: CapacityBin[] = [...readyBins(snapshot), ...bootingBins(snapshot)];
  for (const { offer, count } of offers.pendingRequests) {
    for (let index = 0; index < count; index += 1) bins.push(newBin(offer));
  }
  return bins;
};
