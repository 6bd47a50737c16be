import murmurhash from "murmurhash";
import prand from "pure-rand";

/** Seeded pseudo-random generator with sequential draws. */
export class Random {
  private generator: prand.RandomGenerator;

  constructor(readonly seed: number) {
    this.generator = prand.xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  readonly next = (): number => prand.unsafeUniformIntDistribution(0, 2 ** 32 - 1, this.generator) / 2 ** 32;

  /** Uniform integer in [from, to]. */
  int(from: number, to: number): number {
    return prand.unsafeUniformIntDistribution(from, to, this.generator);
  }

  /** True with probability `share`. */
  chance(share: number): boolean {
    return this.next() < share;
  }

  /** Uniform choice; throws for an empty list. */
  pick<T>(items: readonly T[]): T {
    const item = items[this.int(0, items.length - 1)];
    if (item === undefined) throw new Error("nothing to pick from");
    return item;
  }
}

/**
 * Stateless random draws, keyed by name: the boot time of machine n-000007 depends on the seed and its name only, so
 * that replays under different policies, and a replay and a run over real sockets, get the same values.
 */
export class NamedRandom {
  constructor(readonly seed: number) {}

  /** Uniform in [0, 1). */
  of(purpose: string, name: string): number {
    return murmurhash.v3(`${purpose}/${name}`, this.seed) / 2 ** 32;
  }

  /** Uniform in [least, most). */
  between(purpose: string, name: string, min: number, max: number): number {
    return min + (max - min) * this.of(purpose, name);
  }
}
