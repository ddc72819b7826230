import type { TaskEntry } from '../state/task-entry.js';
import type { Urgency } from './urgency.js';

/** Maximum wait for less interference; users treat a task as lost after 3 s. */
const MAXIMUM_WAIT_MILLISECONDS = 2500;

/** Tasks of a job with less time left until its latest start do not wait. */
const MINIMUM_SLACK_MILLISECONDS = 1000;

/**
 * A batch task may wait for a moment with less interference unless it has to
 * start now to be on time. Tasks of a late job may wait as well, since waiting
 * costs little once the job is late.
 */
export function canWait(
  steps: readonly (readonly TaskEntry[])[],
  { late, latestStart }: Urgency,
  now: number,
): boolean {
  const isWaitingBriefly = (task: TaskEntry): boolean =>
    now - task.waitingSince < MAXIMUM_WAIT_MILLISECONDS;
  const hasTime = late || latestStart - now > MINIMUM_SLACK_MILLISECONDS;
  return hasTime && steps.some(tasks => tasks.some(isWaitingBriefly));
}
