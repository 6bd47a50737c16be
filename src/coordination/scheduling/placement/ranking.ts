/**
 * Algorithms 1 and 2 for a run of equal components. The shortlist of one step differs from that of the step
 * before in the place of one server only, so it is sorted once and then kept: the result is that of `choose`,
 * step by step, without looking at every server again for each task.
 */
import { type Component, fetchSeconds, fits, remainingShare, type Server } from "./bfgp.js";

/** A server with its place in the order that breaks ties. */
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

/** Counts the servers inspected, so that a test can bound it. */
export interface InspectionCounter {
  count: number;
}

/** The servers that fit a component, in the order of Algorithm 2, kept sorted while equal components are assigned. */
export class Ranking<S extends RankedServer> {
  private readonly fitting: RankingEntry<S>[] = [];
  private readonly shortlistSize: number;
  private chosenIndex = -1;

  /** `total` is the number of servers that the component may use, with or without free capacity: the paper's |S_i|. */
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

  /** The server with the smallest tuple on the shortlist; null if none has capacity. */
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

  /** The chosen server has been assigned the component: it can only move forward, or drop out. */
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
