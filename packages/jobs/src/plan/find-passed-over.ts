import type { JobEntry } from '../state/job-entry.js';
import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { PassedOver } from './passed-over.js';
import { patience } from './patience.js';
import { standsStill } from './stands-still.js';
import type { WaitingJob } from './waiting-job.js';

/**
 * Returns the tasks that were passed over for long while their work stands still,
 * those that have waited longest first: each long-running task, and otherwise the
 * task or gang of an occurrence that has waited longest.
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

/** Returns what starts at once, of the ready tasks of a job. */
function unitsOf(
  job: JobEntry,
  steps: readonly (readonly TaskEntry[])[],
): readonly (readonly TaskEntry[])[] {
  const units: (readonly TaskEntry[])[] = [];
  const longest = new Map<number, readonly TaskEntry[]>();
  for (const tasks of steps) {
    const [first] = tasks;
    if (
      first?.specification.longRunning === true &&
      !first.specification.gang
    ) {
      units.push(...tasks.map(task => [task]));
    } else if (first !== undefined && mayStartNow(job, tasks, first)) {
      const unit = first.specification.gang ? tasks : [longestWaiting(tasks)];
      const other = longest.get(first.occurrence);
      if (other === undefined || sinceOf(unit) < sinceOf(other)) {
        longest.set(first.occurrence, unit);
      }
    }
  }
  return [...units, ...longest.values()];
}

/** Whether the ready tasks of a step may start; those of a gang once all are ready. */
function mayStartNow(
  job: JobEntry,
  tasks: readonly TaskEntry[],
  { specification, occurrence, step }: TaskEntry,
): boolean {
  const size = job.occurrences.get(occurrence)?.[step]?.length;
  return !specification.gang || tasks.length === size;
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
