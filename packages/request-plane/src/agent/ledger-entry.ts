import type { RunOutcome } from '../outcome/run-outcome.js';

/** The state of one request, as recorded by an agent. */
export interface LedgerEntry {
  readonly state: 'waiting' | 'began' | 'ended' | 'fenced';
  /** Outcome of a request that has ended; undefined before. */
  readonly outcome: RunOutcome | undefined;
  /** Time of the most recent change. */
  readonly changedAt: number;
}
