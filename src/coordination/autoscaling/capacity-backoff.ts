/**
 * Backoff for offers for which the cloud has no capacity.
 * @module
 */
import { type Micros, seconds } from "../../transport/clock.js";
import { type MachineOffer, offerKey } from "./cloud-offers.js";

const MIN_REFUSAL_PAUSE = seconds(4);
const MAX_REFUSAL_PAUSE = seconds(40);
/** Keeps the power of two within the numbers that are exact. */
const MAX_DOUBLINGS = 20;
const NOT_REFUSED = 0 as Micros;

/** Offers that were refused or only partly granted are not requested for a while, each time longer. */
export class CapacityBackoff {
  private readonly backoffByOffer = new Map<string, { readonly until: Micros; readonly count: number }>();

  /** When the offer of this key may be requested again; 0: at any time. */
  until(key: string): Micros {
    return this.backoffByOffer.get(key)?.until ?? NOT_REFUSED;
  }

  /** Takes the answer to a request in: `granted` of `requested` machines. */
  recordGrant(offer: MachineOffer, requested: number, granted: number, now: Micros): void {
    const key = offerKey(offer);
    if (granted >= requested) {
      this.backoffByOffer.delete(key);
      return;
    }
    const count = (this.backoffByOffer.get(key)?.count ?? 0) + 1;
    const pause = Math.min(MAX_REFUSAL_PAUSE, MIN_REFUSAL_PAUSE * 2 ** Math.min(MAX_DOUBLINGS, count - 1));
    this.backoffByOffer.set(key, { until: (now + pause) as Micros, count });
  }
}
