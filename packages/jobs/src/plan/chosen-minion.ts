import type { CandidateMinion } from './candidate-minion.js';

/** The minion chosen for a task, and the risk for serving tasks on it. */
export interface ChosenMinion {
  readonly candidate: CandidateMinion;
  /**
   * Number of tail latency bounds of serving tasks that the choice endangers; a
   * bound may count as a fraction.
   */
  readonly endangeredBounds: number;
}
