/** Periodic loop of the mesh, with detection of event-loop stalls. */
import { type Clock, type Micros, seconds, type Timer } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import { LogEvent } from "./log-events.js";
import { HEARTBEAT_PERIOD } from "./peer-liveness.js";

/** A longer interval between two ticks counts as a stall of the event loop. */
const MAX_TICK_INTERVAL = seconds(1.2);
const MICROS_PER_MILLISECOND = 1_000;

/** Dependencies of the loop. */
export interface HeartbeatLoopOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Called before `onTick` if the event loop was stalled until `now`. */
  readonly onStall: (now: Micros) => void;
  /** Called once per heartbeat period. */
  readonly onTick: (now: Micros) => void;
}

/** Ticks once per heartbeat period between `start` and `stop`. */
export class HeartbeatLoop {
  private lastTickAt: Micros;
  private timer: Timer | null = null;

  constructor(private readonly options: HeartbeatLoopOptions) {
    this.lastTickAt = options.clock.now();
  }

  /** Runs the first tick synchronously. */
  start(): void {
    this.runTick();
  }

  stop(): void {
    this.timer?.cancel();
    this.timer = null;
  }

  private runTick(): void {
    const { clock, onTick } = this.options;
    const now = clock.now();
    this.detectStall(now);
    onTick(now);
    this.timer = clock.after(HEARTBEAT_PERIOD, () => this.runTick());
  }

  /** After a stall every peer and worker seems silent until the messages received meanwhile have been processed. */
  private detectStall(now: Micros): void {
    const { log, onStall } = this.options;
    const interval = now - this.lastTickAt;
    this.lastTickAt = now;
    if (interval <= MAX_TICK_INTERVAL) return;
    log.info(LogEvent.EventLoopStalled, {
      stallMs: Math.round((interval - HEARTBEAT_PERIOD) / MICROS_PER_MILLISECOND),
    });
    onStall(now);
  }
}
