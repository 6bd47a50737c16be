/**
 * Exponential backoff for offers for which the cloud has no capacity.
 * @module
 */
import { type Micros, seconds } from "../../transport/clock.js";
import { type MachineOffer, offerKey } from "./cloud-offers.js";

const MIN_BACKOFF = seconds(4);
const MAX_BACKOFF = seconds(40);
/** Keeps the power of two exact as a plain number. */
const MAX_DOUBLINGS = 20;
const NOT_REFUSED = 0 as Micros;

/**
 * After a refused or only partly granted request, pauses requests for the offer. Each further refusal doubles the
 * pause, up to a maximum.
 */
export class CapacityBackoff {
  private readonly backoffByOffer = new Map<string, { readonly until: Micros; readonly count: number }>();

  /** When the offer of this key may be requested again; 0: at any time. */
  until(key: string): Micros {
    return this.backoffByOffer.get(key)?.until ?? NOT_REFUSED;
  }

  /** Records the response to a provisioning request; a complete grant resets the offer's backoff. */
  recordGrant(offer: MachineOffer, requested: number, granted: number, now: Micros): void {
    const key = offerKey(offer);
    if (granted >= requested) {
      this.backoffByOffer.delete(key);
      return;
    }
    const count = (this.backoffByOffer.get(key)?.count ?? 0) + 1;
    const backoff = Math.min(MAX_BACKOFF, MIN_BACKOFF * 2 ** Math.min(MAX_DOUBLINGS, count - 1));
    this.backoffByOffer.set(key, { until: (now + backoff) as Micros, count });
  }
}
