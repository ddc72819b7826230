import type { StoredRecord } from '../log/stored-record.js';
import type { Decision } from '../records/decision.js';
import type { VoidDecision } from './void-decision.js';

/** Effect of folding one record. */
export interface FoldOutcome {
  readonly record: StoredRecord;
  /** False when the whole record was ignored or void. */
  readonly applied: boolean;
  /** Why the record is void; empty when it is not. */
  readonly reason: string;
  readonly decisions: readonly Decision[];
  readonly voidDecisions: readonly VoidDecision[];
}
