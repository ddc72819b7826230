import type { NumberRange } from '../state/number-ranges.js';
import type { TaskRows } from './task-rows.js';

/**
 * Main record of a job's progress. It has the rows of all tasks of a small job;
 * those of other jobs are in records of their own.
 */
export interface ProgressRecord extends TaskRows {
  /** How the job ended; absent while it has not. */
  readonly ended?: 'completed' | 'failed' | 'cancelled';
  readonly endedAt?: number;
  readonly begun?: boolean;
  /** Occurrences of a scheduled job that are done, which have no rows. */
  readonly doneOccurrences?: readonly NumberRange[];
}
