import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Time that a stop takes, including the transit time of its order. */
const STOP_DURATION_MILLISECONDS = 700;

/**
 * Returns the tasks to stop on draining minions, so that they start again on
 * other ones: long-running tasks at once, and tasks that write checkpoints and
 * would not end in time as late as is safe.
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
    for (const { task, run } of minion.runs.values()) {
      const current = task.run === run && task.phase === 'assigned';
      if (current && !task.stopping && mustMove(task, timeLeft, now)) {
        moving.push(task);
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
  if (!specification.checkpointing || task.firstListedAt === 0) {
    return false;
  }
  const elapsed = now - task.firstListedAt;
  const remaining =
    (elapsed / Math.max(1, task.percent)) * (100 - task.percent);
  return timeLeft <= STOP_DURATION_MILLISECONDS && remaining > timeLeft;
}
