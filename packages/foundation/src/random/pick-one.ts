import type { RandomSource } from './random-source.js';

/** Returns a random element of an array; undefined when the array is empty. */
export function pickOne<Entry>(
  entries: readonly Entry[],
  random: RandomSource,
): Entry | undefined {
  return entries[Math.floor(random.next() * entries.length)];
}
