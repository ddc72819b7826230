import type { ScorerName } from '@basilcourse/scheduler/placement/scorers';

/** One case of the colocation measurement. */
export interface ColocationCase {
  readonly name: string;
  readonly placement: ScorerName;
  /** Starts with exact estimates of the interference of every pair of kinds. */
  readonly oracle: boolean;
  /** Throttles batch tasks next to a service that exceeds its target. */
  readonly throttles: boolean;
}
