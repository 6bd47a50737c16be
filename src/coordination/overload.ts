import { type Clock, type Micros, ms, seconds } from "../transport/clock.js";
import type { Log } from "../transport/log.js";

/**
 * What a controller leaves out as its load grows, each level beside what the ones before it do (docs/overload.md):
 * `lean`: optional work (emptying machines, moving replicas, most searches for something to stop, asking machines for
 * their state); `coarse`: rounds and rental plans are made less often, and a holder sends the load balancer's new
 * users to the others; `full`: nothing more is accepted or rented. Reports and stops go on at every level: an answer
 * to a report is the cheapest thing that keeps a machine's tasks alive.
 */
export const LEVELS = ["normal", "lean", "coarse", "full"] as const;
export type Level = (typeof LEVELS)[number];

/** How near a process is to its limits; all but `late` as shares of the limit. */
export interface Load {
  readonly memory: number;
  readonly sockets: number;
}

/** Where the load of this process is read; null where there is nothing to read, as in most simulations. */
export type LoadSource = (() => Load) | null;

const PERIOD = ms(100);
/** Weight of a new delay in the running mean: about the last second and a half counts. */
const WEIGHT = 0.07;
/** Delays beyond this are one standstill, not a load: it must not leave a mark for half a minute. */
const LONGEST = seconds(2);
const CALM = seconds(5);
/** A level is left below this share of what brought it about. */
const LEAVE = 0.5;

interface Bound {
  /** Mean delay of timers: work that waits for the processor. */
  readonly late: Micros;
  readonly memory: number;
  readonly sockets: number;
}

const BOUNDS: readonly Bound[] = [
  { late: ms(60), memory: 0.8, sockets: 0.97 },
  { late: ms(180), memory: 0.87, sockets: Number.POSITIVE_INFINITY },
  { late: ms(800), memory: 0.93, sockets: Number.POSITIVE_INFINITY },
];

/** Tells how much of its load this process can carry. Steps up at once, and down one level after a calm time. */
export class Overload {
  private at = 0;
  private mean = 0;
  private due: Micros;
  private calmSince: Micros;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly source: LoadSource,
  ) {
    this.due = clock.now();
    this.calmSince = clock.now();
    if (source !== null) this.wait();
  }

  get level(): Level {
    return LEVELS[this.at] ?? "full";
  }

  atLeast(level: Level): boolean {
    return this.at >= LEVELS.indexOf(level);
  }

  private wait(): void {
    this.due = (this.clock.now() + PERIOD) as Micros;
    this.clock.after(PERIOD, () => {
      this.take((this.clock.now() - this.due) as Micros);
      this.wait();
    });
  }

  /** `late`: how much later than asked for a timer fired. */
  private take(late: Micros): void {
    if (this.source === null) return;
    this.mean += WEIGHT * (Math.min(late, LONGEST) - this.mean);
    const { memory, sockets } = this.source();
    const over = (bound: Bound, share: number): boolean =>
      this.mean > bound.late * share ||
      memory > 1 - (1 - bound.memory) * (2 - share) ||
      sockets > bound.sockets * (share < 1 ? 0.9 : 1);
    let reached = 0;
    for (const [index, bound] of BOUNDS.entries()) if (over(bound, 1)) reached = index + 1;
    const now = this.clock.now();
    if (reached > this.at) {
      this.move(reached, memory, sockets);
      return;
    }
    const bound = BOUNDS[this.at - 1];
    if (bound === undefined || over(bound, LEAVE)) this.calmSince = now;
    else if (now - this.calmSince > CALM) this.move(this.at - 1, memory, sockets);
  }

  private move(to: number, memory: number, sockets: number): void {
    this.at = to;
    this.calmSince = this.clock.now();
    this.log.info("load", {
      level: this.level,
      lateMs: Math.round(this.mean / 1_000),
      memory: Math.round(memory * 100) / 100,
      sockets: Math.round(sockets * 100) / 100,
    });
  }
}
