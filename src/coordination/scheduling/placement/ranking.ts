/**
 * Algorithms 1 and 2 for a sequence of equal components. Each step changes the position of one server only, so the
 * servers are sorted once and then kept in order. The results equal those of repeated `choose`, without inspecting
 * every server for each component.
 */
import { type Component, fetchSeconds, fits, remainingShare, type Server } from "./bfgp.js";

/** A server with its position in the order that breaks ties. */
export interface RankedServer extends Server {
  readonly order: number;
}

interface RankingEntry<S> {
  readonly server: S;
  busy: boolean;
  remainingShare: number;
}

const compareEntries = <S extends RankedServer>(a: RankingEntry<S>, b: RankingEntry<S>): number =>
  Number(b.busy) - Number(a.busy) || a.remainingShare - b.remainingShare || a.server.order - b.server.order;

/** Counts inspected servers and tasks, so that tests can bound the cost of decisions. */
export interface InspectionCounter {
  count: number;
}

/** The servers that fit a component, in the order of Algorithm 2, kept sorted while equal components are assigned. */
export class Ranking<S extends RankedServer> {
  private readonly fitting: RankingEntry<S>[] = [];
  private readonly shortlistSize: number;
  private chosenIndex = -1;

  /** `total`: the number of servers that the component may use, with or without free capacity; the paper's |S_i|. */
  constructor(
    private readonly component: Component,
    servers: readonly S[],
    total: number,
    kappa: number,
    private readonly inspection: InspectionCounter,
  ) {
    inspection.count += servers.length;
    for (const server of servers) {
      if (!fits(component.demand, server.free)) continue;
      this.fitting.push({ server, busy: server.busy, remainingShare: remainingShare(server) });
    }
    this.fitting.sort(compareEntries);
    this.shortlistSize = Math.max(1, Math.floor(kappa * total));
  }

  /** The server on the shortlist that fetches the image fastest, the first of equals; null if none has capacity. */
  choose(): S | null {
    const end = Math.min(this.shortlistSize, this.fitting.length);
    let leastCost = Number.POSITIVE_INFINITY;
    this.chosenIndex = -1;
    for (let index = 0; index < end && leastCost > 0; index += 1) {
      const entry = this.fitting[index];
      if (entry === undefined) break;
      this.inspection.count += 1;
      const cost = fetchSeconds(this.component, entry.server);
      if (cost >= leastCost) continue;
      leastCost = cost;
      this.chosenIndex = index;
    }
    return this.fitting[this.chosenIndex]?.server ?? null;
  }

  /**
   * Reorders the chosen server after the component was assigned to it: fuller now, it moves forward, or drops out if no
   * further component fits.
   */
  confirmChoice(): void {
    const [entry] = this.fitting.splice(this.chosenIndex, 1);
    if (entry === undefined || !fits(this.component.demand, entry.server.free)) return;
    entry.busy = entry.server.busy;
    entry.remainingShare = remainingShare(entry.server);
    let low = 0;
    for (let high = this.chosenIndex; low < high; ) {
      const middle = (low + high) >> 1;
      const other = this.fitting[middle];
      this.inspection.count += 1;
      if (other !== undefined && compareEntries(other, entry) < 0) low = middle + 1;
      else high = middle;
    }
    this.fitting.splice(low, 0, entry);
  }
}
