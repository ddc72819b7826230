import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

/** Most names of tasks in one log line. */
const MAXIMUM_NAMED_TASKS = 16;

/** Returns the names and last runs of tasks for a log line, the first few of them. */
export function nameTasks(tasks: readonly TaskEntry[]): string {
  return tasks
    .slice(0, MAXIMUM_NAMED_TASKS)
    .map(({ name, run }) => `${name}/${run}`)
    .join(' ');
}
