import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Returns the tasks of a job that may start now, grouped by step. */
export function startableSteps(
  job: JobEntry,
  now: number,
): readonly (readonly TaskEntry[])[] {
  const startable: (readonly TaskEntry[])[] = [];
  for (const [occurrence, steps] of job.occurrences) {
    const tallies = job.talliesOf(occurrence);
    steps.forEach((tasks, number) => {
      if (tallies[number]?.count('waiting') === 0) {
        return;
      }
      const after = job.specification.steps[number]?.after ?? [];
      const ready = after.every(earlier => tallies[earlier]?.allDone ?? false);
      const waiting = ready ? tasks.filter(task => mayStart(task, now)) : [];
      waiting.forEach(task => {
        task.waitingSince ||= now;
      });
      if (waiting.length > 0) {
        startable.push(waiting);
      }
    });
  }
  return startable;
}

/** Whether a task is due, and none of its runs may still be on a minion. */
function mayStart(task: TaskEntry, now: number): boolean {
  return (
    task.phase === 'waiting' && task.notBefore <= now && task.placements === 0
  );
}
