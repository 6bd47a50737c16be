import murmurhash from "murmurhash";
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

/**
 * Luck by name instead of by turn: how long the boot of machine n-000007 takes depends on the seed and its name only,
 * so two replays under different policies, and a replay and a run over real sockets, meet with the same luck.
 */
export class Luck {
  constructor(readonly seed: number) {}

  /** Uniform in [0, 1). */
  of(what: string, name: string): number {
    return murmurhash.v3(`${what}/${name}`, this.seed) / 2 ** 32;
  }

  /** Uniform in [least, most). */
  between(what: string, name: string, least: number, most: number): number {
    return least + (most - least) * this.of(what, name);
  }
}
