import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';

/** What ready tasks of a step have waited for, for long. */
export type WaitCause = 'room' | 'store or agent' | 'order in flight';

/** The ready tasks of a step that wait for the same; its tasks are equal. */
export interface LongWait {
  readonly job: JobEntry;
  /** The one that has waited longest. */
  readonly task: TaskEntry;
  readonly cause: WaitCause;
  /** Unix milliseconds. */
  readonly since: number;
  /** Number of tasks that have waited for long. */
  readonly count: number;
}
