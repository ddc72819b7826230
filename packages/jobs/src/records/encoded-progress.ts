import type { ProgressRecord } from './progress-record.js';
import type { TaskRows } from './task-rows.js';

/**
 * Changed records of a job's progress. They are stored in the order of the
 * members, so that no row is lost if only the first of them are.
 */
export interface EncodedProgress {
  /** Rows by the name of their record, in the order to be stored. */
  readonly parts: readonly (readonly [string, TaskRows])[];
  readonly main: ProgressRecord;
  /** Names of records that are no longer needed once the others are stored. */
  readonly obsoleteParts: readonly string[];
}
