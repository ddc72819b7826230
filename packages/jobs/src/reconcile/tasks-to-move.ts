import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Time that a stop takes, with the transit of its order. */
const STOP_DURATION_MILLISECONDS = 700;

/**
 * Returns the tasks to stop on draining minions: long-running ones at once, and
 * those that write checkpoints and would not end in time as late as is safe.
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
    const timeLeft = minion.description.remainingMilliseconds;
    for (const { entry, run } of minion.runs.values()) {
      const current = entry.run === run && entry.phase === 'assigned';
      if (current && !entry.stopping && mustMove(entry, timeLeft, now)) {
        moving.push(entry);
      }
    }
  }
  return moving;
}

function mustMove(task: TaskEntry, timeLeft: number, now: number): boolean {
  const { specification } = task;
  if (specification.longRunning) {
    return true;
  }
  if (!specification.checkpointing || task.seenRunningAt === 0) {
    return false;
  }
  const elapsed = now - task.seenRunningAt;
  const remaining =
    (elapsed / Math.max(1, task.percent)) * (100 - task.percent);
  return timeLeft <= STOP_DURATION_MILLISECONDS && remaining > timeLeft;
}
