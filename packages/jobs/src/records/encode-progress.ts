import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';
import { encodeRows } from './encode-rows.js';
import type { ProgressRecord } from './progress-record.js';

/**
 * Returns the main record of a job's progress: its end, its occurrences that are
 * done, and rows of tasks that have started.
 *
 * @param tasks - The tasks whose rows the record has, by default all of the open
 * occurrences.
 */
export function encodeProgress(
  job: JobEntry,
  tasks: Iterable<TaskEntry> = job.tasks(),
  checkpointBytes = Number.POSITIVE_INFINITY,
): ProgressRecord {
  const doneOccurrences = job.doneOccurrences.toRows();
  return {
    ...(job.ended === undefined
      ? {}
      : { ended: job.ended, endedAt: job.endedAt }),
    begun: job.begun,
    ...(doneOccurrences.length === 0 ? {} : { doneOccurrences }),
    ...encodeRows(tasks, checkpointBytes),
  };
}
