/** Periodic loop of the mesh, with detection of event-loop stalls. */
import { type Clock, type Micros, seconds, type Timer } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import { LogEvent } from "./log-events.js";
import { HEARTBEAT_PERIOD } from "./peer-liveness.js";

/** A longer interval between two ticks counts as a stall of the event loop. */
const MAX_TURN_INTERVAL = seconds(1.2);
const MICROS_PER_MILLISECOND = 1_000;

/** Dependencies of the loop. */
export interface HeartbeatLoopOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Called before `onTurn` if the event loop was stalled until `now`. */
  readonly onStall: (now: Micros) => void;
  /** Called once per heartbeat period. */
  readonly onTurn: (now: Micros) => void;
}

/** Ticks once per heartbeat period between `start` and `stop`. */
export class HeartbeatLoop {
  private lastTurnAt: Micros;
  private timer: Timer | null = null;

  constructor(private readonly options: HeartbeatLoopOptions) {
    this.lastTurnAt = options.clock.now();
  }

  /** Runs the first tick synchronously. */
  start(): void {
    this.runTurn();
  }

  stop(): void {
    this.timer?.cancel();
    this.timer = null;
  }

  private runTurn(): void {
    const { clock, onTurn } = this.options;
    const now = clock.now();
    this.detectStall(now);
    onTurn(now);
    this.timer = clock.after(HEARTBEAT_PERIOD, () => this.runTurn());
  }

  /** After a stall every peer and worker seems silent until the messages received meanwhile have been processed. */
  private detectStall(now: Micros): void {
    const { log, onStall } = this.options;
    const interval = now - this.lastTurnAt;
    this.lastTurnAt = now;
    if (interval <= MAX_TURN_INTERVAL) return;
    log.info(LogEvent.EventLoopStalled, {
      stallMs: Math.round((interval - HEARTBEAT_PERIOD) / MICROS_PER_MILLISECOND),
    });
    onStall(now);
  }
}
