import type { Decision } from '../records/decision.js';

/** A decision that has no effect, and why. */
export interface VoidDecision {
  readonly decision: Decision;
  readonly reason: string;
}
