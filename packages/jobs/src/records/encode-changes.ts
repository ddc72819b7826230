import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';
import { encodeProgress } from './encode-progress.js';
import { encodeRows } from './encode-rows.js';
import type { EncodedProgress } from './encoded-progress.js';
import type { RecordLayout } from './record-layout.js';

/** Returns the records of a job that have rows of the changed tasks. */
export function encodeChanges(
  job: JobEntry,
  changed: Iterable<TaskEntry>,
  layout: RecordLayout,
): EncodedProgress {
  const { checkpointBytes } = layout;
  if (layout.isInMainRecord(job.specification)) {
    const rows = job.storesRows ? job.tasks() : [];
    const main = encodeProgress(job, rows, checkpointBytes);
    return { parts: [], main, obsoleteParts: [] };
  }
  const open = new Set<string>();
  const obsolete = new Set<string>();
  for (const task of changed) {
    const isOpen = job.occurrences.has(task.occurrence);
    (isOpen ? open : obsolete).add(layout.partOf(job, task));
  }
  return {
    parts: lastFirst(open).map(part => [
      part,
      encodeRows(layout.tasksOf(job, part), checkpointBytes),
    ]),
    main: encodeProgress(job, [], checkpointBytes),
    obsoleteParts: [...obsolete],
  };
}

/**
 * Sorts the records of later tasks first. If a layout with more tasks in a record
 * is replaced, the first record loses its last rows, which are then stored.
 */
function lastFirst(parts: ReadonlySet<string>): readonly string[] {
  return [...parts].sort(
    (part, other) => firstPosition(other) - firstPosition(part),
  );
}

function firstPosition(part: string): number {
  return Number(part.split('.')[1] ?? 0);
}
