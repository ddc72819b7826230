import type { Decision } from '../records/decision.js';
import type { VoidDecision } from './void-decision.js';

/** Result of one handler of the fold. */
export interface HandlerResult {
  /** Why the record is void; empty when it took effect. */
  readonly reason: string;
  readonly decisions?: readonly Decision[];
  readonly voidDecisions?: readonly VoidDecision[];
}
