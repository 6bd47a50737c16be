/**
 * Time: spans and moments in whole microseconds, and the clock that everything else is given. Moments of a clock are
 * steady (they never step back) and mean nothing outside the process.
 */

/** A span, or a moment of a steady clock, in whole microseconds. */
export type Micros = number & { readonly __unit: "us" };

/** Microseconds in a second. */
export const MICROS_PER_SECOND = 1_000_000;
/** Microseconds in a millisecond. */
export const MICROS_PER_MILLISECOND = 1_000;

/** Converts a number of microseconds, rounded to a whole one. */
export const us = (count: number): Micros => Math.round(count) as Micros;

/** Converts a number of milliseconds, rounded to whole microseconds. */
export const ms = (count: number): Micros => us(count * MICROS_PER_MILLISECOND);

/** Converts a number of seconds, rounded to whole microseconds. */
export const seconds = (count: number): Micros => us(count * MICROS_PER_SECOND);

/** A callback that is due once, as `Clock.after` returns it. */
export interface Timer {
  /** Has no effect once the callback has run. */
  cancel(): void;
}

/** The only source of time, so that whole clusters can run on a simulated one. */
export interface Clock {
  /** The present moment. */
  now(): Micros;
  /** Runs `run` once, `delay` from now or later, never earlier. */
  after(delay: Micros, run: () => void): Timer;
}

/** Resolves after `delay` by this clock. */
export const sleep = (clock: Clock, delay: Micros): Promise<void> =>
  new Promise((resolve) => {
    clock.after(delay, resolve);
  });

/** The clock of the process. */
export const systemClock: Clock = {
  now: () => Math.round(performance.now() * MICROS_PER_MILLISECOND) as Micros,
  after: (delay, run) => {
    // Rounded up: a timer that fires early would let a lease be used past its own margin.
    const handle = setTimeout(run, Math.max(0, Math.ceil(delay / MICROS_PER_MILLISECOND)));
    return { cancel: () => clearTimeout(handle) };
  },
};
