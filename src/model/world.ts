import TinyQueue from "tinyqueue";
import type { Clock, Micros, Timer } from "../transport/clock.js";

/** One second of true time, in microseconds. */
export const S = 1_000_000;

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** True time and what is to happen in it: simulated here, or the machine's own (`RealTime`). */
export interface Timeline {
  /** Microseconds since the beginning. */
  readonly now: number;
  at(time: number, run: () => void): Timer;
  after(delay: number, run: () => void): Timer;
}

const compare = (a: Event, b: Event): number => a.at - b.at || a.order - b.order;

/** Events between two looks at the process's own loop: signals, progress and worker threads need one now and then. */
const BREATH = 8_192;

/**
 * Runs once every promise that has been settled so far has had its consequences. Ticks wait for the whole queue of
 * microtasks, however long the chain, and cost a fraction of a turn of the event loop.
 */
const settled = (): Promise<void> => new Promise((resolve) => process.nextTick(resolve));
const turn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** A simulated world's true time and its queue of events. */
export class World implements Timeline {
  now = 0;
  /** Events run so far, for measurements. */
  count = 0;
  private order = 0;
  private stopped = false;
  private readonly queue = new TinyQueue<Event>([], compare);

  at(time: number, run: () => void): Timer {
    const event: Event = { at: Math.max(time, this.now), order: this.order++, run, cancelled: false };
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

  /** Ends `run` after the event under way. */
  stop(): void {
    this.stopped = true;
  }

  /** Runs the next event that is due by `end`; false if there is none. */
  private step(end: number): boolean {
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

  /** Runs until `end`; after each event everything that it caused at once has happened, then `check` looks. */
  async run(end: number, check: () => void): Promise<void> {
    this.stopped = false;
    while (this.step(end)) {
      if (this.count % BREATH === 0) await turn();
      else await settled();
      check();
      if (this.stopped) return;
    }
    this.now = end;
  }

  /** The same for worlds in which nothing waits for a promise: some ten times as quick. */
  runAtOnce(end: number, check: () => void = () => undefined): void {
    this.stopped = false;
    while (this.step(end)) {
      check();
      if (this.stopped) return;
    }
    this.now = end;
  }
}

/** A host's steady clock: runs a little fast or slow, and dies with the host. */
export class HostClock implements Clock {
  dead = false;

  constructor(
    private readonly world: Timeline,
    private readonly rate: number,
    private readonly offset: number,
    /** Where the host's processor is short, a timer waits for its turn. */
    private readonly later: ((delay: Micros, run: () => void) => Timer) | null = null,
  ) {}

  now(): Micros {
    return Math.floor(this.world.now * this.rate + this.offset) as Micros;
  }

  after(delay: Micros, run: () => void): Timer {
    const alive = (): void => {
      if (!this.dead) run();
    };
    const span = Math.max(0, delay) / this.rate;
    return this.later === null ? this.world.after(span, alive) : this.later(span as Micros, alive);
  }
}
