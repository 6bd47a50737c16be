/** Load levels of this process, and the work that is shed at each. */

import { type Clock, type Micros, ms, seconds } from "../../transport/clock.js";
import type { Log } from "../../transport/log.js";
import { LogEvent } from "../log-events.js";

/**
 * Load levels of a controller, in rising order. Each level sheds more work than the one before (docs/overload.md):
 * `reduced`: no optional work (consolidation, most preemption searches, most status queries); `degraded`: placement
 * rounds and scale plans run less often, and a leader's health check makes the load balancer send users to other
 * controllers; `saturated`: submissions are deferred and no machines provisioned. Heartbeats and stop commands are
 * handled at every level: a response to a heartbeat is the cheapest operation that keeps a machine's tasks alive.
 */
export const LOAD_LEVELS = ["normal", "reduced", "degraded", "saturated"] as const;
/** One of `LOAD_LEVELS`. */
export type LoadLevel = (typeof LOAD_LEVELS)[number];

/** Memory and sockets in use, each as a share of the process's limit. */
export interface ProcessLoad {
  readonly memory: number;
  readonly sockets: number;
}

/** Reads the load of this process; null: it is not measured, as in most simulations, and the level stays `normal`. */
export type LoadSource = (() => ProcessLoad) | null;

const SAMPLE_INTERVAL = ms(100);
/** Weight of a new sample in the exponential moving average, which covers about the last 1.5 s. */
const SAMPLE_WEIGHT = 0.07;
/** Longer delays are capped: a single stall of the process is not load, and must not dominate the average for 30 s. */
const MAX_DELAY_SAMPLE = seconds(2);
const STEP_DOWN_DELAY = seconds(5);
/** A level is left only below this share of the thresholds at which it is entered (hysteresis). */
const STEP_DOWN_SHARE = 0.5;

interface LevelThreshold {
  /** Mean delay of timers, which shows how long work waits for the CPU. */
  readonly delay: Micros;
  readonly memory: number;
  readonly sockets: number;
}

const LEVEL_THRESHOLDS: readonly LevelThreshold[] = [
  { delay: ms(60), memory: 0.8, sockets: 0.97 },
  { delay: ms(180), memory: 0.87, sockets: Number.POSITIVE_INFINITY },
  { delay: ms(800), memory: 0.93, sockets: Number.POSITIVE_INFINITY },
];

/** Determines the load level of this process. It rises at once, and falls by one level after a period of lower load. */
export class LoadShedder {
  private levelIndex = 0;
  private meanDelay = 0;
  private timerDueAt: Micros;
  private belowThresholdSince: Micros;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly source: LoadSource,
  ) {
    this.timerDueAt = clock.now();
    this.belowThresholdSince = clock.now();
    if (source !== null) this.scheduleSample();
  }

  /** The current load level. */
  get level(): LoadLevel {
    return LOAD_LEVELS[this.levelIndex] ?? "saturated";
  }

  /** Whether the current level is `level` or a higher one. */
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

  /** `timerDelay`: how much later than scheduled the timer fired. */
  private addSample(timerDelay: Micros): void {
    if (this.source === null) return;
    this.meanDelay += SAMPLE_WEIGHT * (Math.min(timerDelay, MAX_DELAY_SAMPLE) - this.meanDelay);
    const { memory, sockets } = this.source();
    const exceeds = (threshold: LevelThreshold, share: number): boolean =>
      this.meanDelay > threshold.delay * share ||
      memory > 1 - (1 - threshold.memory) * (2 - share) ||
      sockets > threshold.sockets * (share < 1 ? 0.9 : 1);
    let reached = 0;
    for (const [index, threshold] of LEVEL_THRESHOLDS.entries()) if (exceeds(threshold, 1)) reached = index + 1;
    const now = this.clock.now();
    if (reached > this.levelIndex) {
      this.changeLevel(reached, memory, sockets);
      return;
    }
    const threshold = LEVEL_THRESHOLDS[this.levelIndex - 1];
    if (threshold === undefined || exceeds(threshold, STEP_DOWN_SHARE)) this.belowThresholdSince = now;
    else if (now - this.belowThresholdSince > STEP_DOWN_DELAY) this.changeLevel(this.levelIndex - 1, memory, sockets);
  }

  private changeLevel(newLevelIndex: number, memory: number, sockets: number): void {
    this.levelIndex = newLevelIndex;
    this.belowThresholdSince = this.clock.now();
    this.log.info(LogEvent.LoadLevelChanged, {
      level: this.level,
      lateMs: Math.round(this.meanDelay / 1_000),
      memory: Math.round(memory * 100) / 100,
      sockets: Math.round(sockets * 100) / 100,
    });
  }
}
