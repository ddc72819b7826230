import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/** No progress for so long means that a run stands still. */
const STUCK_MILLISECONDS = 2500;

/** A filling task may be held back by its neighbours. */
const STUCK_FILLING_MILLISECONDS = 8000;

const WHOLE_PERCENT = 100;

/** Pause of a minion on which a run stood still. */
const STUCK_PAUSE_MILLISECONDS = 2000;

/** Returns the runs that were seen to begin and make no progress. */
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
        minion.restsUntil = Math.max(
          minion.restsUntil,
          now + STUCK_PAUSE_MILLISECONDS,
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
  if (task.specification.longRunning && task.percent >= WHOLE_PERCENT) {
    return false;
  }
  const bound = task.specification.filling
    ? STUCK_FILLING_MILLISECONDS
    : STUCK_MILLISECONDS;
  return now - task.progressAt > bound;
}
