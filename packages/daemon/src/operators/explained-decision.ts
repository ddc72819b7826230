import type { Decision } from '@basilcourse/shared-state/records/decision';

/** A decision with its offset in the log and its effect. */
export interface ExplainedDecision {
  readonly offset: number;
  /** Time of the decision in milliseconds since the epoch. */
  readonly at: number;
  /** Instance of the process that decided. */
  readonly by: string;
  readonly decision: Decision;
  /** Why it had no effect; empty if it had. */
  readonly voidBecause: string;
}
