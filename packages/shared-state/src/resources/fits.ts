import type { Resources } from '../records/resources.js';

/** Tolerance for rounding errors in sums of fractional amounts. */
const ROUNDING_TOLERANCE = 1e-9;

/** Returns whether the required resources fit into the available ones. */
export function fits(required: Resources, available: Resources): boolean {
  return (
    required.processors <= available.processors + ROUNDING_TOLERANCE &&
    required.memoryGigabytes <=
      available.memoryGigabytes + ROUNDING_TOLERANCE &&
    required.accelerators <= available.accelerators
  );
}
