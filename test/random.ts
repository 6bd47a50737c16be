import prand from "pure-rand";

/** Seeded: the same seed gives the same run. */
export class Random {
  private generator: prand.RandomGenerator;

  constructor(readonly seed: number) {
    this.generator = prand.xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  readonly next = (): number => prand.unsafeUniformIntDistribution(0, 2 ** 32 - 1, this.generator) / 2 ** 32;

  int(from: number, to: number): number {
    return prand.unsafeUniformIntDistribution(from, to, this.generator);
  }

  chance(share: number): boolean {
    return this.next() < share;
  }

  pick<T>(items: readonly T[]): T {
    const item = items[this.int(0, items.length - 1)];
    if (item === undefined) throw new Error("nothing to pick from");
    return item;
  }
}

/** Runs a check for many seeds; a failure names the one to repeat. */
export const forSeeds = (count: number, run: (random: Random) => void): void => {
  for (let seed = 1; seed <= count; seed += 1) {
    try {
      run(new Random(seed));
    } catch (error) {
      throw new Error(`seed ${seed}`, { cause: error });
    }
  }
};
