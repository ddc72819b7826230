/** Rows of tasks, as records name them. */
export interface TaskRows {
  /** Incarnations; the rows refer to them by their position here. */
  readonly incarnations: readonly string[];
  readonly tasks: readonly TaskRow[];
}

/**
 * A task: occurrence, step, index, phase, run, failed runs, position of the
 * incarnation (-1 for none), checkpoint, and 1 if the run is confirmed.
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
  1?,
];

/** Short form of a task's phase. */
export type TaskPhaseLetter = 'w' | 'a' | 'd' | 'f';
