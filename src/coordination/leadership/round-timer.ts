/** The timer of a shard leader's placement rounds. */
import { type Micros, ms, type Timer } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";
import type { Services } from "../context.js";
import { LogEvent } from "../log-events.js";

/** The shortest time between rounds. */
export const MIN_ROUND_INTERVAL = ms(10);
/** The shortest time between rounds from load level `degraded` on. */
const ROUND_INTERVAL_UNDER_LOAD = ms(1_000);
/** Interval between round starts, as a multiple of the last round's duration: leaves time for heartbeats. */
const ROUND_INTERVAL_FACTOR = 4;

/** Runs placement rounds when due, at intervals bounded below by the load level and the last round's duration. */
export class RoundTimer {
  private stopped = false;
  private timer: Timer | null = null;
  private dueAt: Micros = 0 as Micros;
  private lastRoundAt: Micros = 0 as Micros;
  private interval: Micros = MIN_ROUND_INTERVAL;

  /** @param runRound may throw: the error is logged, and the next round runs as scheduled */
  constructor(
    private readonly services: Pick<Services, "clock" | "log" | "loadShedder" | "options">,
    private readonly runRound: () => void,
  ) {}

  /** Schedules a round after `delay`, unless one is due sooner; a new round supersedes a later one. */
  schedule(delay: Micros): void {
    if (this.stopped) return;
    const { clock } = this.services;
    const dueAt = Math.max(clock.now() + delay, this.lastRoundAt + this.interval) as Micros;
    if (this.timer !== null && this.dueAt <= dueAt) return;
    this.timer?.cancel();
    this.dueAt = dueAt;
    this.timer = clock.after(Math.max(0, dueAt - clock.now()) as Micros, () => this.run());
  }

  /** No round runs from now on. */
  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  private run(): void {
    const { clock, log, loadShedder, options } = this.services;
    this.timer = null;
    this.lastRoundAt = clock.now();
    try {
      if (!this.stopped) this.runRound();
    } catch (error) {
      log.error(LogEvent.RoundFailed, { error: describeError(error) });
    }
    const minInterval = loadShedder.atLeast("degraded") ? ROUND_INTERVAL_UNDER_LOAD : MIN_ROUND_INTERVAL;
    this.interval = Math.max(minInterval, ROUND_INTERVAL_FACTOR * (clock.now() - this.lastRoundAt)) as Micros;
    this.schedule(ms(options.roundMs));
  }
}
