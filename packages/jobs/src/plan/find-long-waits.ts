import type { JobEntry } from '../state/job-entry.js';
import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { LongWait, WaitCause } from './long-wait.js';

interface Wait {
  readonly task: TaskEntry;
  readonly cause: WaitCause;
  readonly since: number;
}

/**
 * Returns which steps have tasks that are ready and have waited for at least a
 * time, whether for room or for a start on its way; the longest waits come first.
 */
export function findLongWaits(
  table: JobTable,
  minimumMilliseconds: number,
  now: number,
): readonly LongWait[] {
  const found: LongWait[] = [];
  for (const job of table.jobs.values()) {
    if (job.ended !== undefined) {
      continue;
    }
    for (const [occurrence, steps] of job.occurrences) {
      const tallies = job.talliesOf(occurrence);
      steps.forEach((tasks, number) => {
        const tally = tallies[number];
        const isOpen =
          tally !== undefined &&
          tally.count('waiting') + tally.count('assigned') > 0;
        if (isOpen) {
          found.push(...waitsOfStep(job, tasks, now - minimumMilliseconds));
        }
      });
    }
  }
  return found.sort((first, second) => first.since - second.since);
}

/** Returns the waits of a step that began before a time, one for each cause. */
function waitsOfStep(
  job: JobEntry,
  tasks: readonly TaskEntry[],
  before: number,
): readonly LongWait[] {
  const byCause = new Map<WaitCause, LongWait>();
  for (const { task, cause, since } of tasks.flatMap(waitOf)) {
    const known = byCause.get(cause);
    if (since > before) {
      continue;
    }
    const isLonger = known === undefined || since < known.since;
    byCause.set(cause, {
      job,
      cause,
      task: isLonger ? task : known.task,
      since: isLonger ? since : known.since,
      count: (known?.count ?? 0) + 1,
    });
  }
  return [...byCause.values()];
}

/** Returns what a task waits for; nothing if it runs, or is not ready. */
function waitOf(task: TaskEntry): readonly Wait[] {
  if (task.phase === 'waiting') {
    const since = task.waitingSince;
    return since === 0 ? [] : [{ task, cause: 'room', since }];
  }
  if (task.phase !== 'assigned' || task.firstListedAt !== 0) {
    return [];
  }
  const cause = task.startSent ? 'order in flight' : 'store or agent';
  return [{ task, cause, since: task.assignedAt }];
}
