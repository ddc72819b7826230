import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

import type { RandomSource } from './random-source.js';

const DISTINCT_VALUES = 2 ** 30;

/**
 * Creates a source of random numbers whose sequence is determined by the seed.
 */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {
    next: () =>
      unsafeUniformIntDistribution(0, DISTINCT_VALUES - 1, generator) /
      DISTINCT_VALUES,
  };
}
