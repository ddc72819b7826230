import type { NumberRange } from '../state/number-ranges.js';

/** Progress of a job; the record is replaced with each change. */
export interface ProgressRecord {
  /** How the job ended; absent while it has not. */
  readonly ended?: 'completed' | 'failed' | 'cancelled';
  readonly endedAt?: number;
  readonly begun?: boolean;
  /** Occurrences of a scheduled job that are done, which have no rows below. */
  readonly doneOccurrences?: readonly NumberRange[];
  /** Incarnations; the rows below refer to them by their position here. */
  readonly incarnations: readonly string[];
  readonly tasks: readonly TaskRow[];
}

/**
 * A task: occurrence, step, index, phase, run, failed runs, position of the
 * incarnation (-1 for none), checkpoint.
 */
export type TaskRow = readonly [
  number,
  number,
  number,
  TaskPhaseLetter,
  number,
  number,
  number,
  string,
];

/** Short form of a task's phase. */
export type TaskPhaseLetter = 'w' | 'a' | 'd' | 'f';
