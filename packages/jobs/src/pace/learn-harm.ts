import type { HarmTable } from './harm-table.js';

const LEARNING_RATE = 0.25;

/** Busy cores below which little can be learned. */
const LEAST_CORES = 0.5;

/** Busy cores of the filling images on one minion. */
export type FillingCores = ReadonlyMap<string, number>;

/**
 * Learns from the slowdown of one serving task beside filling ones, by
 * normalised least mean squares (Widrow and Hoff, "Adaptive Switching
 * Circuits", IRE WESCON 1960).
 *
 * @param slowdown - 1 for none.
 * @param overloaded - The tail grows without a bound, so that it shows only the
 * least slowdown.
 * @param cores - As of the time that the slowdown covers.
 */
export function learnHarm(
  table: HarmTable,
  serving: string,
  slowdown: number,
  overloaded: boolean,
  cores: FillingCores,
): void {
  let predicted = 0;
  let norm = LEAST_CORES;
  for (const [filling, amount] of cores) {
    predicted += amount * table.harm(serving, filling);
    norm += amount * amount;
  }
  const error = slowdown - 1 - predicted;
  if (overloaded && error < 0) {
    return;
  }
  for (const [filling, amount] of cores) {
    const difference = (LEARNING_RATE * error * amount) / norm;
    table.change(serving, filling, difference);
  }
}
