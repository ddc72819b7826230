import type { MinionLimits } from '@basilcourse/jobs/model/minion-limits';

/** Limits of the fake minions. */
export const MINION_LIMITS: MinionLimits = {
  longestLeaseMilliseconds: 4000,
  longestCallDelayMilliseconds: 1800,
};
