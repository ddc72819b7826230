import type { InterferencePredictor } from './interference-predictor.js';

/** What the choice of minions for the equal tasks of one step depends on. */
export interface StepConditions {
  readonly service: string;
  /** Number of the step's tasks that can start now. */
  readonly taskCount: number;
  readonly predictor: InterferencePredictor;
  /** A batch task may wait for a moment with less interference. */
  readonly mayWait: boolean;
  /** A batch task may start where its processor time is not idle. */
  readonly mayOvercommit: boolean;
  /** Number of bounds that a batch task may endanger while it can wait. */
  readonly maximumEndangeredBounds: number;
}
