/** Recent failures on one worker, compared with those on other workers. */
export interface WorkerEvidence {
  /** Number of tasks that failed there recently. */
  readonly failedTasks: number;
  /** Number of these tasks that have not failed on another worker. */
  readonly failedOnlyHere: number;
}
