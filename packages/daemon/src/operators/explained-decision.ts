import type { Decision } from '@basilcourse/shared-state/records/decision';

/** A decision with its offset in the log, and whether it had an effect. */
export interface ExplainedDecision {
  readonly offset: number;
  /** Time of the decision in milliseconds since the epoch. */
  readonly at: number;
  /** Instance of the process that decided. */
  readonly by: string;
  readonly decision: Decision;
  /** Why the decision had no effect; empty if it had one. */
  readonly voidBecause: string;
}
