/** Random numbers as an interface; seeded where results must be reproducible. */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

export interface Random {
  /** Uniform in [0, 1). */
  next(): number;
}

/**
 * A generator that produces the same numbers for the same seed. The first numbers of
 * neighbouring seeds are nearly equal, so seeds that have to give independent numbers must
 * be far apart, such as hashes.
 */
export class SeededRandom implements Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformFloat64(this.generator);
  }
}

/** Uniform integer in [0, bound). */
export const pickIndex = (random: Random, bound: number): number =>
  Math.floor(random.next() * bound);

/** Half of `ms` plus a random half: spreads retries, and none of them is immediate. */
export const jitter = (random: Random, ms: number): number =>
  ms / 2 + (random.next() * ms) / 2;
