import type { RandomSource } from './random-source.js';

/** Returns a random element of an array; undefined when the array is empty. */
export function pickOne<Element>(
  elements: readonly Element[],
  random: RandomSource,
): Element | undefined {
  return elements[Math.floor(random.next() * elements.length)];
}
