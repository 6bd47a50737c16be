/** Steady time in whole microseconds. All spans in the code are of this kind. */
export type Micros = number & { readonly __unit: "us" };

export const us = (n: number): Micros => Math.round(n) as Micros;
export const ms = (n: number): Micros => us(n * 1_000);
export const seconds = (n: number): Micros => us(n * 1_000_000);

export interface Timer {
  cancel(): void;
}

/** The only source of time, so that whole clusters can run on a simulated one. */
export interface Clock {
  now(): Micros;
  after(delay: Micros, run: () => void): Timer;
}

export const sleep = (clock: Clock, delay: Micros): Promise<void> =>
  new Promise((resolve) => {
    clock.after(delay, resolve);
  });

export const systemClock: Clock = {
  now: () => Math.round(performance.now() * 1_000) as Micros,
  after: (delay, run) => {
    // Rounded up: a timer that fires early would let a lease be used past its own margin.
    const handle = setTimeout(run, Math.max(0, Math.ceil(delay / 1_000)));
    return { cancel: () => clearTimeout(handle) };
  },
};
