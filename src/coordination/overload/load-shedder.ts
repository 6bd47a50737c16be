/** Load levels of this process, and what is left out at each. */

import { type Clock, type Micros, ms, seconds } from "../../transport/clock.js";
import type { Log } from "../../transport/log.js";
import { LogEvent } from "../log-events.js";

/**
 * What a controller leaves out as its load grows, each level beside what the ones before it do (docs/overload.md):
 * `reduced`: optional work (emptying machines, moving replicas, most searches for something to stop, asking machines for
 * their state); `degraded`: rounds and scaling plans are made less often, and a leader sends the load balancer's new
 * users to the others; `saturated`: nothing more is accepted or rented. Reports and stops go on at every level: an answer
 * to a report is the cheapest thing that keeps a machine's tasks alive.
 */
export const LOAD_LEVELS = ["normal", "reduced", "degraded", "saturated"] as const;
/** One of the load levels, in rising order. */
export type LoadLevel = (typeof LOAD_LEVELS)[number];

/** How near a process is to its limits; all but `late` as shares of the limit. */
export interface ProcessLoad {
  readonly memory: number;
  readonly sockets: number;
}

/** Where the load of this process is read; null where there is nothing to read, as in most simulations. */
export type LoadSource = (() => ProcessLoad) | null;

const SAMPLE_INTERVAL = ms(100);
/** Weight of a new delay in the running mean: about the last second and a half counts. */
const SAMPLE_WEIGHT = 0.07;
/** Delays beyond this are one standstill, not a load: it must not leave a mark for half a minute. */
const MAX_SAMPLE = seconds(2);
const CALM_TIME = seconds(5);
/** A level is left below this share of what brought it about. */
const LEAVE_SHARE = 0.5;

interface LevelThreshold {
  /** Mean delay of timers: work that waits for the processor. */
  readonly delay: Micros;
  readonly memory: number;
  readonly sockets: number;
}

const LEVEL_THRESHOLDS: readonly LevelThreshold[] = [
  { delay: ms(60), memory: 0.8, sockets: 0.97 },
  { delay: ms(180), memory: 0.87, sockets: Number.POSITIVE_INFINITY },
  { delay: ms(800), memory: 0.93, sockets: Number.POSITIVE_INFINITY },
];

/** Tells how much of its load this process can carry. Steps up at once, and down one level after a calm time. */
export class LoadShedder {
  private levelIndex = 0;
  private meanDelay = 0;
  private timerDueAt: Micros;
  private calmSince: Micros;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly source: LoadSource,
  ) {
    this.timerDueAt = clock.now();
    this.calmSince = clock.now();
    if (source !== null) this.scheduleSample();
  }

  get level(): LoadLevel {
    return LOAD_LEVELS[this.levelIndex] ?? "saturated";
  }

  atLeast(level: LoadLevel): boolean {
    return this.levelIndex >= LOAD_LEVELS.indexOf(level);
  }

  private scheduleSample(): void {
    this.timerDueAt = (this.clock.now() + SAMPLE_INTERVAL) as Micros;
    this.clock.after(SAMPLE_INTERVAL, () => {
      this.addSample((this.clock.now() - this.timerDueAt) as Micros);
      this.scheduleSample();
    });
  }

  /** `late`: how much later than asked for a timer fired. */
  private addSample(late: Micros): void {
    if (this.source === null) return;
    this.meanDelay += SAMPLE_WEIGHT * (Math.min(late, MAX_SAMPLE) - this.meanDelay);
    const { memory, sockets } = this.source();
    const over = (bound: LevelThreshold, share: number): boolean =>
      this.meanDelay > bound.delay * share ||
      memory > 1 - (1 - bound.memory) * (2 - share) ||
      sockets > bound.sockets * (share < 1 ? 0.9 : 1);
    let reached = 0;
    for (const [index, bound] of LEVEL_THRESHOLDS.entries()) if (over(bound, 1)) reached = index + 1;
    const now = this.clock.now();
    if (reached > this.levelIndex) {
      this.changeLevel(reached, memory, sockets);
      return;
    }
    const bound = LEVEL_THRESHOLDS[this.levelIndex - 1];
    if (bound === undefined || over(bound, LEAVE_SHARE)) this.calmSince = now;
    else if (now - this.calmSince > CALM_TIME) this.changeLevel(this.levelIndex - 1, memory, sockets);
  }

  private changeLevel(to: number, memory: number, sockets: number): void {
    this.levelIndex = to;
    this.calmSince = this.clock.now();
    this.log.info(LogEvent.LoadLevelChanged, {
      level: this.level,
      lateMs: Math.round(this.meanDelay / 1_000),
      memory: Math.round(memory * 100) / 100,
      sockets: Math.round(sockets * 100) / 100,
    });
  }
}
