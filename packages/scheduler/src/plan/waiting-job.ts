import type { BatchJob } from '@basilcourse/shared-state/release-note/batch-job';
import type { TaskProgress } from '@basilcourse/shared-state/scheduling/task-progress';

/** A job that has no active attempt and may run. */
export interface WaitingJob {
  readonly job: BatchJob;
  readonly task: string;
  /** Undefined before the first attempt. */
  readonly progress: TaskProgress | undefined;
  /** Time at which its most recent attempt ended; 0 before the first. */
  readonly readyAt: number;
}
