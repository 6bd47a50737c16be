import TinyQueue from "tinyqueue";
import type { Clock, Micros, Timer } from "../transport/clock.js";

/** One second of simulated time, in microseconds. */
export const S = 1_000_000;

/** A scheduled event; events at equal times run in the order in which they were scheduled. */
interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** Reference time and event scheduling: simulated (`Simulation`) or real time (`RealTime`). */
export interface Timeline {
  /** Microseconds since the start. */
  readonly now: number;
  at(time: number, run: () => void): Timer;
  after(delay: number, run: () => void): Timer;
}

const compare = (a: Event, b: Event): number => a.at - b.at || a.order - b.order;

/** Events between two yields to the Node.js event loop, which signals, progress output and worker threads need. */
const EVENTS_PER_YIELD = 8_192;

/**
 * Resolves once all pending microtasks have run, including those that they queue themselves. `process.nextTick` waits
 * for the whole microtask queue and costs a fraction of a turn of the event loop.
 */
const microtasksDone = (): Promise<void> => new Promise((resolve) => process.nextTick(resolve));
const eventLoopTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Discrete-event simulation: the simulated clock and its event queue. */
export class Simulation implements Timeline {
  now = 0;
  /** Number of events processed. */
  count = 0;
  private nextOrder = 0;
  private stopped = false;
  private readonly queue = new TinyQueue<Event>([], compare);

  at(time: number, run: () => void): Timer {
    const event: Event = { at: Math.max(time, this.now), order: this.nextOrder++, run, cancelled: false };
    this.queue.push(event);
    return {
      cancel: () => {
        event.cancelled = true;
      },
    };
  }

  after(delay: number, run: () => void): Timer {
    return this.at(this.now + delay, run);
  }

  /** Ends `run` or `runAtOnce` after the current event. */
  stop(): void {
    this.stopped = true;
  }

  /** Runs the next event that is due by `end`; false if there is none. */
  private runNextEvent(end: number): boolean {
    for (let event = this.queue.peek(); event !== undefined && event.at <= end; event = this.queue.peek()) {
      this.queue.pop();
      if (event.cancelled) continue;
      this.now = event.at;
      event.run();
      this.count += 1;
      return true;
    }
    return false;
  }

  /** Runs until `end`; calls `check` after each event, once all promise callbacks that the event triggered have run. */
  async run(end: number, check: () => void): Promise<void> {
    this.stopped = false;
    while (this.runNextEvent(end)) {
      if (this.count % EVENTS_PER_YIELD === 0) await eventLoopTurn();
      else await microtasksDone();
      check();
      if (this.stopped) return;
    }
    this.now = end;
  }

  /** As `run`, but synchronous, for simulations without promises: about ten times as fast. */
  runAtOnce(end: number, check: () => void = () => undefined): void {
    this.stopped = false;
    while (this.runNextEvent(end)) {
      check();
      if (this.stopped) return;
    }
    this.now = end;
  }
}

/** A process's monotonic clock with offset and drift; its timers no longer fire once `dead` is set. */
export class HostClock implements Clock {
  dead = false;

  constructor(
    private readonly timeline: Timeline,
    private readonly rate: number,
    private readonly offset: number,
    /** Schedules timers on a host with limited processor time; null for the timeline's own timers. */
    private readonly scheduleTimer: ((delay: Micros, run: () => void) => Timer) | null = null,
  ) {}

  now(): Micros {
    return Math.floor(this.timeline.now * this.rate + this.offset) as Micros;
  }

  after(delay: Micros, run: () => void): Timer {
    const runIfAlive = (): void => {
      if (!this.dead) run();
    };
    const trueDelay = Math.max(0, delay) / this.rate;
    return this.scheduleTimer === null
      ? this.timeline.after(trueDelay, runIfAlive)
      : this.scheduleTimer(trueDelay as Micros, runIfAlive);
  }
}
