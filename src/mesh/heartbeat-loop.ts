/** Periodic loop of the mesh, with detection of event-loop stalls. */
import { type Clock, type Micros, seconds, type Timer } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import { LogEvent } from "./log-events.js";
import { HEARTBEAT_PERIOD } from "./peer-liveness.js";

/** A longer interval between two iterations counts as a stall of the event loop. */
const MAX_ITERATION_INTERVAL = seconds(1.2);
const MICROS_PER_MILLISECOND = 1_000;

/** Dependencies of the loop. */
export interface HeartbeatLoopOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Called before `onIteration` if the event loop was stalled until `now`. */
  readonly onStall: (now: Micros) => void;
  /** Called once per heartbeat period. */
  readonly onIteration: (now: Micros) => void;
}

/** Runs one iteration per heartbeat period between `start` and `stop`. */
export class HeartbeatLoop {
  private lastIterationAt: Micros;
  private timer: Timer | null = null;

  constructor(private readonly options: HeartbeatLoopOptions) {
    this.lastIterationAt = options.clock.now();
  }

  /** Runs the first iteration synchronously. */
  start(): void {
    this.runIteration();
  }

  stop(): void {
    this.timer?.cancel();
    this.timer = null;
  }

  private runIteration(): void {
    const { clock, onIteration } = this.options;
    const now = clock.now();
    this.detectStall(now);
    onIteration(now);
    this.timer = clock.after(HEARTBEAT_PERIOD, () => this.runIteration());
  }

  /** After a stall every peer and worker seems silent until the messages received meanwhile have been processed. */
  private detectStall(now: Micros): void {
    const { log, onStall } = this.options;
    const interval = now - this.lastIterationAt;
    this.lastIterationAt = now;
    if (interval <= MAX_ITERATION_INTERVAL) return;
    log.info(LogEvent.EventLoopStalled, {
      stallMs: Math.round((interval - HEARTBEAT_PERIOD) / MICROS_PER_MILLISECOND),
    });
    onStall(now);
  }
}
