import type { AttemptOutcome } from '../records/decision.js';

/** State of a task across all its attempts. */
export interface TaskProgress {
  readonly task: string;
  /** Number of the most recent attempt; 0 before the first. */
  readonly attempts: number;
  /** Identifier of the active attempt; empty when there is none. */
  readonly active: string;
  readonly evictions: number;
  readonly failures: number;
  readonly finished: boolean;
  /** Most recent checkpoint; empty when there is none. */
  readonly checkpoint: string;
  /** Cell that the task was forwarded to; empty for its default cell. */
  readonly forwardedTo: string;
  readonly lastOutcome: AttemptOutcome | 'none';
  readonly lastReason: string;
  /** Workers on which the most recent attempts failed. */
  readonly failedOn: readonly string[];
  /** Why the task was reported as unplaceable; empty if it was not. */
  readonly unplaceable: string;
  /**
   * End of the most recent attempt, by the clock of the cell's lease holder.
   */
  readonly endedAt: number;
}
