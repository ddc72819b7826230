import { CLOCK_DRIFT_SHARE } from './decide-lease-action.js';
import type { LeaseObservation } from './lease-observation.js';

/**
 * Returns whether a process may still act as the holder of a cell's lease.
 *
 * The fold voids the decisions of a former holder in any case; this check only
 * avoids sending them.
 *
 * @param confirmedAt - Time at which the process sent its most recent claim or
 * renewal that has been read back from the log.
 */
export function holdsLease(
  observation: LeaseObservation,
  instance: string,
  confirmedAt: number,
  leaseMilliseconds: number,
  now: number,
): boolean {
  const validFor = leaseMilliseconds * (1 - CLOCK_DRIFT_SHARE);
  return observation.cell.holder === instance && now - confirmedAt < validFor;
}
