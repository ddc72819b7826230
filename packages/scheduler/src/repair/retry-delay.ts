import type { TaskProgress } from '@basilcourse/shared-state/scheduling/task-progress';

/** Minimum number of failures to report a job as unplaceable. */
export const UNPLACEABLE_FAILURE_COUNT = 6;

const INITIAL_DELAY_MILLISECONDS = 500;

const MAXIMUM_DELAY_MILLISECONDS = 60_000;

/** Earliest time to retry a failed task, with exponential backoff. */
export function earliestRetryTime(progress: TaskProgress): number {
  if (progress.lastOutcome !== 'failed') {
    return 0;
  }
  const delay = INITIAL_DELAY_MILLISECONDS * 2 ** (progress.failures - 1);
  return progress.endedAt + Math.min(delay, MAXIMUM_DELAY_MILLISECONDS);
}
