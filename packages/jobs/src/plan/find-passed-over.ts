import type { JobEntry } from '../state/job-entry.js';
import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { PassedOver } from './passed-over.js';
import { patience } from './patience.js';
import { standsStill } from './stands-still.js';
import type { WaitingJob } from './waiting-job.js';

/**
 * Returns the tasks that were passed over for long while their work stands still,
 * those that have waited longest first: each long-running task, each gang, and of each
 * other step the task that has waited longest.
 *
 * @param full - Services of which little capacity is left.
 */
export function findPassedOver(
  table: JobTable,
  waiting: readonly WaitingJob[],
  full: ReadonlySet<string>,
  now: number,
): readonly PassedOver[] {
  return waiting
    .flatMap(({ job, steps, urgency }) =>
      unitsOf(job, steps)
        .map(tasks => ({ job, urgency, tasks, since: sinceOf(tasks) }))
        .filter(({ tasks: [task], since }) => {
          const { longRunning = false } = task?.specification ?? {};
          const isFull = full.has(job.queue.service) && !longRunning;
          return now - since >= patience(isFull);
        })
        .filter(({ tasks: [task] }) => task && standsStill(table, task)),
    )
    .sort((first, second) => first.since - second.since);
}

/** Returns what may start first, of the ready tasks of each step. */
function unitsOf(
  job: JobEntry,
  steps: readonly (readonly TaskEntry[])[],
): readonly (readonly TaskEntry[])[] {
  return steps.flatMap(tasks => {
    const { gang = false, longRunning = false } = tasks[0]?.specification ?? {};
    if (gang) {
      return isWhole(job, tasks) ? [tasks] : [];
    }
    return longRunning ? tasks.map(task => [task]) : [[longestWaiting(tasks)]];
  });
}

/** Whether all members of a gang are among the ready tasks of its step. */
function isWhole(job: JobEntry, tasks: readonly TaskEntry[]): boolean {
  const { occurrence = 0, step = 0 } = tasks[0] ?? {};
  return tasks.length === job.occurrences.get(occurrence)?.[step]?.length;
}

function longestWaiting(tasks: readonly TaskEntry[]): TaskEntry {
  return tasks.reduce((longest, task) =>
    task.waitingSince < longest.waitingSince ? task : longest,
  );
}

/** Returns since when all tasks of a unit have waited. */
function sinceOf(tasks: readonly TaskEntry[]): number {
  return Math.max(...tasks.map(({ waitingSince }) => waitingSince));
}
