import type { Configuration } from '@basilcourse/shared-state/configuration/configuration';

/** Allowance for the difference between the clocks of two processes. */
const CLOCK_SKEW_MILLISECONDS = 1000;

/** Returns the time since which claims must be remembered. */
export function memoryWindowStart(
  configuration: Configuration,
  now: number,
): number {
  const windowMilliseconds = configuration.limits.claimMemorySeconds * 1000;
  return now - windowMilliseconds - CLOCK_SKEW_MILLISECONDS;
}
