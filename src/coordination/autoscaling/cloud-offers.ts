/**
 * Machines that the cloud can be asked for, and what is known of their availability.
 * @module
 */
import type { MachineType } from "../../protocol/cloud.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Micros } from "../../transport/clock.js";
import { allows, zoneAllowed } from "../scheduling/eligibility.js";
import { countThatFit } from "../scheduling/placement/bfgp.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import type { DemandHistory } from "./demand-history.js";

/** By so much an offer counts as dearer where all machines are of its zone and kind. */
const CONCENTRATION_PENALTY = 0.2;

/** A machine type in a zone, as a spot instance or not. */
export interface MachineOffer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** What is known of the cloud beyond the machines in the snapshot. */
export interface CloudOffers {
  /** Provisioning requests that have not been answered yet. */
  readonly pendingRequests: readonly { readonly offer: MachineOffer; readonly count: number }[];
  /** Offers refused lately are not to be requested before this time. */
  readonly unavailableUntil: (key: string) => Micros;
  /** Zones that cannot be reached as a whole: nothing is provisioned there, and capacity is provided elsewhere. */
  readonly unreachableZones: ReadonlySet<string>;
  readonly demandHistory: DemandHistory;
}

/** A key that tells offers apart. */
export const offerKey = (offer: MachineOffer): string => `${offer.type.name}/${offer.zone}/${offer.spot}`;

const priceOf = (offer: MachineOffer): number => (offer.spot ? offer.type.spotPrice : offer.type.price);

/** What `cheapestOffer` looks for. */
export interface OfferSearch {
  readonly snapshot: SchedulerSnapshot;
  readonly offers: CloudOffers;
  readonly spec: JobSpec;
  /** Tasks that are to be placed on machines of the offer. */
  readonly count: number;
  /** Tasks of the job by zone. */
  readonly zoneCounts: ReadonlyMap<string, number>;
  /** The share of all machines that is of the offer's zone and kind, from 0 to 1. */
  readonly shareOf: (offer: MachineOffer) => number;
}

/**
 * The cheapest offer by the task; among near equals the one whose zone and kind hold least, so that a reclaim takes less.
 * Null: no offer suits the job.
 */
// biome-ignore lint/complexity/noExcessiveCognitiveComplexity: a search over types, zones and kinds in three plain loops
export const cheapestOffer = (search: OfferSearch): MachineOffer | null => {
  const { snapshot, spec, count, shareOf } = search;
  let best: { offer: MachineOffer; cost: number } | null = null;
  for (const type of snapshot.shard.machineTypes().values()) {
    const fit = Math.min(count, countThatFit(spec.demand, type.capacity));
    if (fit === 0) continue;
    for (const zone of type.zones) {
      for (const spot of [false, true]) {
        const offer: MachineOffer = { type, zone, spot };
        if (!isAvailable(search, offer)) continue;
        const cost = (priceOf(offer) / fit) * (1 + CONCENTRATION_PENALTY * shareOf(offer));
        if (best === null || cost < best.cost) best = { offer, cost };
      }
    }
  }
  return best?.offer ?? null;
};

const isAvailable = ({ snapshot, offers, spec, zoneCounts }: OfferSearch, offer: MachineOffer): boolean => {
  const { type, zone, spot } = offer;
  if (!allows(spec, type.name, zone, spot) || !zoneAllowed(spec, zoneCounts, zone)) return false;
  return offers.unavailableUntil(offerKey(offer)) <= snapshot.now && !offers.unreachableZones.has(zone);
};
