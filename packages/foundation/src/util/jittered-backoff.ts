import type { RandomSource } from '../random/random-source.js';

/** Initial and maximum retry delay before jitter is applied. */
export interface BackoffBounds {
  readonly initialMilliseconds: number;
  readonly maximumMilliseconds: number;
}

/**
 * Returns the delay before the given retry, uniformly distributed between 0 and
 * a limit that doubles with each retry ("full jitter").
 *
 * @param retry - Number of the retry, starting at 0.
 */
export function jitteredBackoff(
  retry: number,
  bounds: BackoffBounds,
  random: RandomSource,
): number {
  const doubled = bounds.initialMilliseconds * 2 ** Math.min(retry, 30);
  return random.next() * Math.min(doubled, bounds.maximumMilliseconds);
}
