import { CLOCK_DRIFT_FACTOR } from '@basilcourse/jobs/model/clock-drift-factor';
import type { MinionLimits } from '@basilcourse/jobs/model/minion-limits';

import { KILL_MARGIN_MILLISECONDS } from './kill-margin.js';

/**
 * Returns for how long runs may go on after a minion has carried out a call whose
 * expiry was worked out on the clock of an earlier incarnation, in milliseconds.
 */
export function longestHold({
  longestLeaseMilliseconds,
}: MinionLimits): number {
  return (
    longestLeaseMilliseconds * CLOCK_DRIFT_FACTOR + KILL_MARGIN_MILLISECONDS
  );
}
