import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Time that a stop and the way of its order take. */
const STOP_MILLISECONDS = 700;

/**
 * Returns the tasks to stop on draining minions: those that last, at once;
 * those that keep checkpoints and would not end in time, as late as is safe.
 */
export function tasksToMove(
  table: JobTable,
  now: number,
): readonly TaskEntry[] {
  const moving: TaskEntry[] = [];
  for (const minion of table.minions.values()) {
    if (!minion.connected || minion.description?.draining !== true) {
      continue;
    }
    const left = minion.description.remainingMilliseconds;
    for (const { entry, run } of minion.runs.values()) {
      const current = entry.run === run && entry.phase === 'assigned';
      if (current && !entry.stopping && mustMove(entry, left, now)) {
        moving.push(entry);
      }
    }
  }
  return moving;
}

function mustMove(task: TaskEntry, left: number, now: number): boolean {
  const { specification } = task;
  if (specification.longRunning) {
    return true;
  }
  if (!specification.checkpointing || task.seenRunningAt === 0) {
    return false;
  }
  const ran = now - task.seenRunningAt;
  const remaining = (ran / Math.max(1, task.percent)) * (100 - task.percent);
  return left <= STOP_MILLISECONDS && remaining > left;
}
