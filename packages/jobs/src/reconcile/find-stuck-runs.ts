import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/** A run without progress for this long is stuck. */
const STUCK_TIMEOUT_MILLISECONDS = 2500;

/** Longer, since a batch task may be throttled for its neighbours. */
const STUCK_BATCH_TIMEOUT_MILLISECONDS = 8000;

/** A long-running task at this progress handles requests. */
const READY_PERCENT = 100;

/** Time without starts for a minion on which a run is stuck. */
const STUCK_BACKOFF_MILLISECONDS = 2000;

/** Returns the tasks whose runs have begun but make no progress. */
export function findStuckRuns(
  table: JobTable,
  now: number,
): readonly TaskEntry[] {
  const stuck: TaskEntry[] = [];
  for (const minion of table.minions.values()) {
    if (!minion.connected || minion.description?.draining === true) {
      continue;
    }
    for (const { entry, run } of minion.runs.values()) {
      if (entry.run === run && isStuck(entry, now)) {
        minion.backoffUntil = Math.max(
          minion.backoffUntil,
          now + STUCK_BACKOFF_MILLISECONDS,
        );
        stuck.push(entry);
      }
    }
  }
  return stuck;
}

function isStuck(task: TaskEntry, now: number): boolean {
  if (task.phase !== 'assigned' || task.seenRunningAt === 0 || task.stopping) {
    return false;
  }
  if (task.specification.longRunning && task.percent >= READY_PERCENT) {
    return false;
  }
  const bound = task.specification.filling
    ? STUCK_BATCH_TIMEOUT_MILLISECONDS
    : STUCK_TIMEOUT_MILLISECONDS;
  return now - task.progressAt > bound;
}
