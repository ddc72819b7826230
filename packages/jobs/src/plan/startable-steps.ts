import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Returns the tasks of a job that may start now, grouped by step. */
export function startableSteps(
  job: JobEntry,
  now: number,
): readonly (readonly TaskEntry[])[] {
  const startable: (readonly TaskEntry[])[] = [];
  for (const steps of job.occurrences.values()) {
    steps.forEach((tasks, number) => {
      const after = job.specification.steps[number]?.after ?? [];
      const ready = after.every(earlier => isDone(steps[earlier]));
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

function isDone(tasks: readonly TaskEntry[] | undefined): boolean {
  return tasks?.every(task => task.phase === 'done') ?? false;
}

function mayStart(task: TaskEntry, now: number): boolean {
  return task.phase === 'waiting' && task.notBefore <= now;
}
