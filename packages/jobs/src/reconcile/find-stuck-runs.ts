import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/** A run without progress for this long is stuck. */
const STUCK_TIMEOUT_MILLISECONDS = 2500;

/** Longer, since a batch task may be throttled for the serving tasks. */
const STUCK_BATCH_TIMEOUT_MILLISECONDS = 8000;

/** Progress at which a long-running task handles requests. */
const READY_PERCENT = 100;

/** Time without starts for a minion on which a run is stuck. */
const STUCK_BACKOFF_MILLISECONDS = 2000;

/**
 * Returns the tasks whose runs have begun but make no progress, by the reports of
 * their minions: while a minion is silent, its runs may go on.
 */
export function findStuckRuns(
  table: JobTable,
  now: number,
): readonly TaskEntry[] {
  const stuck: TaskEntry[] = [];
  for (const minion of table.minions.values()) {
    const { description } = minion;
    const isSilent = description?.silent === true;
    if (!minion.connected || isSilent || description?.draining === true) {
      continue;
    }
    for (const { task, run } of minion.runs.values()) {
      if (task.run === run && isStuck(task, minion.reportedAt)) {
        minion.backoffUntil = Math.max(
          minion.backoffUntil,
          now + STUCK_BACKOFF_MILLISECONDS,
        );
        stuck.push(task);
      }
    }
  }
  return stuck;
}

function isStuck(task: TaskEntry, reportedAt: number): boolean {
  if (task.phase !== 'assigned' || task.firstListedAt === 0 || task.stopping) {
    return false;
  }
  if (task.specification.longRunning && task.percent >= READY_PERCENT) {
    return false;
  }
  const timeout = task.specification.filling
    ? STUCK_BATCH_TIMEOUT_MILLISECONDS
    : STUCK_TIMEOUT_MILLISECONDS;
  return reportedAt - task.progressAt > timeout;
}
