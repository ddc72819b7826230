import type { ScorerName } from '@basilcourse/scheduler/placement/scorers';

/** One case of the colocation measurement. */
export interface ColocationCase {
  readonly name: string;
  readonly placement: ScorerName;
  /** Whether the estimator starts with the exact interference of all kinds. */
  readonly oracle: boolean;
  /** Whether batch tasks next to a service above its target are throttled. */
  readonly throttles: boolean;
}
