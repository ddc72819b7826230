import type { RunningTask } from '../model/running-task.js';
import type { TaskEntry } from '../state/task-entry.js';

/** A batch task that uses less than this part of its request is throttled. */
const THROTTLED_FRACTION = 0.4;

/** Time from the first report of a task until its usage is measured. */
const FIRST_USAGE_MILLISECONDS = 700;

/** Records how far the current run of a task is, and whether it is throttled. */
export function recordProgress(
  task: TaskEntry,
  running: RunningTask,
  now: number,
): void {
  if (task.firstListedAt === 0) {
    task.firstListedAt = now;
    task.progressAt = now;
  }
  if (running.percent !== task.percent) {
    task.percent = running.percent;
    task.progressAt = now;
  }
  if (running.checkpoint !== '') {
    task.checkpoint = running.checkpoint;
  }
  if (task.specification.filling) {
    recordThrottling(task, running, now);
  }
}

function recordThrottling(
  task: TaskEntry,
  { gauge }: RunningTask,
  now: number,
): void {
  const full = task.specification.processorMillicores;
  const isMeasured = now - task.firstListedAt >= FIRST_USAGE_MILLISECONDS;
  if (!isMeasured || gauge >= full * THROTTLED_FRACTION) {
    task.throttledSince = 0;
  } else if (task.throttledSince === 0) {
    task.throttledSince = now;
  }
}
