/**
 * Algorithms 1 and 2 for a run of equal components. The shortlist of one step differs from that of the step
 * before in the place of one server only, so it is sorted once and then kept: the result is that of `choose`,
 * step by step, without looking at every server again for each task.
 */
import { type Component, fits, missing, remaining, type Server } from "./bfgp.js";

/** A server with its place in the order that breaks ties. */
export interface Ranked extends Server {
  readonly order: number;
}

interface Entry<S> {
  readonly server: S;
  busy: boolean;
  left: number;
}

const before = <S extends Ranked>(a: Entry<S>, b: Entry<S>): number =>
  Number(b.busy) - Number(a.busy) || a.left - b.left || a.server.order - b.server.order;

/** Counts what is looked at, so that a test can bound it. */
export interface Work {
  visited: number;
}

export class Ranking<S extends Ranked> {
  private readonly fitting: Entry<S>[] = [];
  private readonly most: number;
  private chosen = -1;

  /** `total` is the number of servers that the component may use, with or without room: the paper's |S_i|. */
  constructor(
    private readonly component: Component,
    servers: readonly S[],
    total: number,
    kappa: number,
    private readonly work: Work,
  ) {
    work.visited += servers.length;
    for (const server of servers) {
      if (!fits(component.demand, server.free)) continue;
      this.fitting.push({ server, busy: server.busy, left: remaining(server) });
    }
    this.fitting.sort(before);
    this.most = Math.max(1, Math.floor(kappa * total));
  }

  /** The server with the smallest tuple on the shortlist; null if none has room. */
  choose(): S | null {
    const end = Math.min(this.most, this.fitting.length);
    let least = Number.POSITIVE_INFINITY;
    this.chosen = -1;
    for (let at = 0; at < end && least > 0; at += 1) {
      const entry = this.fitting[at];
      if (entry === undefined) break;
      this.work.visited += 1;
      const cost = missing(this.component, entry.server);
      if (cost >= least) continue;
      least = cost;
      this.chosen = at;
    }
    return this.fitting[this.chosen]?.server ?? null;
  }

  /** The chosen server has been assigned the component: it can only move forward, or drop out. */
  taken(): void {
    const [entry] = this.fitting.splice(this.chosen, 1);
    if (entry === undefined || !fits(this.component.demand, entry.server.free)) return;
    entry.busy = entry.server.busy;
    entry.left = remaining(entry.server);
    let low = 0;
    for (let high = this.chosen; low < high; ) {
      const middle = (low + high) >> 1;
      const other = this.fitting[middle];
      this.work.visited += 1;
      if (other !== undefined && before(other, entry) < 0) low = middle + 1;
      else high = middle;
    }
    this.fitting.splice(low, 0, entry);
  }
}
