import type { Resources } from '../records/resources.js';

/** Tolerance for rounding errors in sums of fractional sizes. */
const ROUNDING_TOLERANCE = 1e-9;

/** Tells whether a size fits into the available resources. */
export function fits(size: Resources, available: Resources): boolean {
  return (
    size.processors <= available.processors + ROUNDING_TOLERANCE &&
    size.memoryGigabytes <= available.memoryGigabytes + ROUNDING_TOLERANCE &&
    size.accelerators <= available.accelerators
  );
}
