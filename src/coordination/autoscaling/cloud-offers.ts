/**
 * The cloud's offers: which machines can be requested, their known availability, and the choice of the cheapest.
 * @module
 */
import type { MachineType } from "../../protocol/cloud.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Micros } from "../../transport/clock.js";
import { jobAllowsMachine, zoneAllowed } from "../scheduling/eligibility.js";
import { countThatFit } from "../scheduling/placement/bfgp.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import type { DemandHistory } from "./demand-history.js";

/** Relative price surcharge of an offer if all machines were of its zone and purchase option (spot or on demand). */
const CONCENTRATION_PENALTY = 0.2;

/** A machine type in a zone, as a spot instance or on demand. */
export interface MachineOffer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** The scale plan's input about the cloud, beyond the machines in the scheduler snapshot. */
export interface CloudOffers {
  /** Provisioning requests that have not been answered yet. */
  readonly pendingRequests: readonly { readonly offer: MachineOffer; readonly count: number }[];
  /** The time before which a recently refused offer is not requested again, by its key; 0: it may be requested now. */
  readonly unavailableUntil: (key: string) => Micros;
  /**
   * Zones that are unreachable as a whole: no machine is provisioned there, and replacement capacity is provisioned
   * elsewhere.
   */
  readonly unreachableZones: ReadonlySet<string>;
  readonly demandHistory: DemandHistory;
}

/** The map key of an offer: `type/zone/spot`. */
export const offerKey = (offer: MachineOffer): string => `${offer.type.name}/${offer.zone}/${offer.spot}`;

const priceOf = (offer: MachineOffer): number => (offer.spot ? offer.type.spotPrice : offer.type.price);

/** The input of `cheapestOffer`. */
export interface OfferSearch {
  readonly snapshot: SchedulerSnapshot;
  readonly offers: CloudOffers;
  readonly spec: JobSpec;
  /** The number of tasks to be placed on machines of the offer. */
  readonly count: number;
  /** The number of the job's tasks by zone. */
  readonly zoneCounts: ReadonlyMap<string, number>;
  /** The share of all machines that have the offer's zone and purchase option, from 0 to 1. */
  readonly shareOf: (offer: MachineOffer) => number;
}

/**
 * The offer with the lowest price per task. The concentration penalty favours the less used zone and purchase option
 * among offers of similar price, so that a reclaim of spot machines affects fewer tasks. Null: no available offer suits
 * the job.
 */
// biome-ignore lint/complexity/noExcessiveCognitiveComplexity: three nested loops over types, zones and purchase options
export const cheapestOffer = (search: OfferSearch): MachineOffer | null => {
  const { snapshot, spec, count, shareOf } = search;
  let best: { offer: MachineOffer; cost: number } | null = null;
  for (const type of snapshot.shard.machineTypes().values()) {
    const tasksPerMachine = Math.min(count, countThatFit(spec.demand, type.capacity));
    if (tasksPerMachine === 0) continue;
    for (const zone of type.zones) {
      for (const spot of [false, true]) {
        const offer: MachineOffer = { type, zone, spot };
        if (!isAvailable(search, offer)) continue;
        const cost = (priceOf(offer) / tasksPerMachine) * (1 + CONCENTRATION_PENALTY * shareOf(offer));
        if (best === null || cost < best.cost) best = { offer, cost };
      }
    }
  }
  return best?.offer ?? null;
};

const isAvailable = ({ snapshot, offers, spec, zoneCounts }: OfferSearch, offer: MachineOffer): boolean => {
  const { type, zone, spot } = offer;
  if (!jobAllowsMachine(spec, type.name, zone, spot) || !zoneAllowed(spec, zoneCounts, zone)) return false;
  return offers.unavailableUntil(offerKey(offer)) <= snapshot.now && !offers.unreachableZones.has(zone);
};
