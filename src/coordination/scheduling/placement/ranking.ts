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
  left: number;
}

const compareEntries = <S extends RankedServer>(a: RankingEntry<S>, b: RankingEntry<S>): number =>
  Number(b.busy) - Number(a.busy) || a.left - b.left || a.server.order - b.server.order;

/** Counts what is looked at, so that a test can bound it. */
export interface InspectionCounter {
  count: number;
}

export class Ranking<S extends RankedServer> {
  private readonly fitting: RankingEntry<S>[] = [];
  private readonly shortlistSize: number;
  private chosenIndex = -1;

  /** `total` is the number of servers that the component may use, with or without room: the paper's |S_i|. */
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
      this.fitting.push({ server, busy: server.busy, left: remainingShare(server) });
    }
    this.fitting.sort(compareEntries);
    this.shortlistSize = Math.max(1, Math.floor(kappa * total));
  }

  /** The server with the smallest tuple on the shortlist; null if none has room. */
  choose(): S | null {
    const end = Math.min(this.shortlistSize, this.fitting.length);
    let least = Number.POSITIVE_INFINITY;
    this.chosenIndex = -1;
    for (let at = 0; at < end && least > 0; at += 1) {
      const entry = this.fitting[at];
      if (entry === undefined) break;
      this.inspection.count += 1;
      const cost = fetchSeconds(this.component, entry.server);
      if (cost >= least) continue;
      least = cost;
      this.chosenIndex = at;
    }
    return this.fitting[this.chosenIndex]?.server ?? null;
  }

  /** The chosen server has been assigned the component: it can only move forward, or drop out. */
  confirmChoice(): void {
    const [entry] = this.fitting.splice(this.chosenIndex, 1);
    if (entry === undefined || !fits(this.component.demand, entry.server.free)) return;
    entry.busy = entry.server.busy;
    entry.left = remainingShare(entry.server);
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
