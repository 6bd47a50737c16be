/**
 * Durations and timestamps in whole microseconds, and the clock that all other modules use. Timestamps are monotonic
 * (they never step back) and meaningless outside the process.
 */

/** A duration, or a timestamp of a monotonic clock, in whole microseconds. */
export type Micros = number & { readonly __unit: "us" };

/** Microseconds in a second. */
export const MICROS_PER_SECOND = 1_000_000;
/** Microseconds in a millisecond. */
export const MICROS_PER_MILLISECOND = 1_000;

/** Converts a number of microseconds, rounded to whole microseconds. */
export const us = (count: number): Micros => Math.round(count) as Micros;

/** Converts a number of milliseconds, rounded to whole microseconds. */
export const ms = (count: number): Micros => us(count * MICROS_PER_MILLISECOND);

/** Converts a number of seconds, rounded to whole microseconds. */
export const seconds = (count: number): Micros => us(count * MICROS_PER_SECOND);

/** A one-shot timer started by `Clock.after`. */
export interface Timer {
  /** Prevents the callback from running; has no effect once it has run. */
  cancel(): void;
}

/** The only source of time, so that whole clusters can run on simulated time. */
export interface Clock {
  /** The current time. */
  now(): Micros;
  /** Calls `run` once, no earlier than `delay` from now. */
  after(delay: Micros, run: () => void): Timer;
}

/** Resolves once `delay` has elapsed on this clock. */
export const sleep = (clock: Clock, delay: Micros): Promise<void> =>
  new Promise((resolve) => {
    clock.after(delay, resolve);
  });

/** The monotonic clock of the process. */
export const systemClock: Clock = {
  now: () => Math.round(performance.now() * MICROS_PER_MILLISECOND) as Micros,
  after: (delay, run) => {
    // Rounded up: a timer that fires early could let a lease be used beyond its safety margin.
    const handle = setTimeout(run, Math.max(0, Math.ceil(delay / MICROS_PER_MILLISECOND)));
    return { cancel: () => clearTimeout(handle) };
  },
};
