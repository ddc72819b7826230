import type { JobEntry } from '../state/job-entry.js';
import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';
import { applyRows } from './apply-rows.js';
import type { ProgressRecord } from './progress-record.js';

/**
 * Applies the main record of a job's progress to the table, and returns the tasks
 * whose rows it has.
 *
 * @param now - Present time; the leases of minions whose agents have not
 * reported yet count from here.
 */
export function applyProgress(
  table: JobTable,
  job: JobEntry,
  record: ProgressRecord,
  now: number,
): readonly TaskEntry[] {
  job.begun = record.begun ?? false;
  job.ended = record.ended;
  job.endedAt = record.endedAt ?? 0;
  job.endStored = record.ended !== undefined;
  for (const [first, last] of record.doneOccurrences ?? []) {
    job.doneOccurrences.addRange(first, last);
  }
  return applyRows(table, job, record, now);
}
