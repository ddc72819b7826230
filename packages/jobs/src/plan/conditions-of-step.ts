import type { JobEntry } from '../state/job-entry.js';
import type { InterferencePredictor } from './interference-predictor.js';
import type { StepConditions } from './step-conditions.js';

/** Number of bounds that a batch task may endanger while it can still wait. */
const MAXIMUM_ENDANGERED_BOUNDS_WHILE_WAITING = 0.8;

/** Returns the conditions under which tasks of a step are placed. */
export function conditionsOfStep(
  job: JobEntry,
  taskCount: number,
  predictor: InterferencePredictor,
  mode: Pick<StepConditions, 'mayWait' | 'mayOvercommit'>,
): StepConditions {
  return {
    service: job.queue.service,
    taskCount,
    predictor,
    ...mode,
    maximumEndangeredBounds: MAXIMUM_ENDANGERED_BOUNDS_WHILE_WAITING,
  };
}
