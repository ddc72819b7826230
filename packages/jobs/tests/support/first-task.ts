import type { JobEntry } from '../../src/state/job-entry.js';
import type { TaskEntry } from '../../src/state/task-entry.js';

/** Returns a task of the first occurrence; throws if there is none. */
export function firstTask(job: JobEntry, step = 0, index = 0): TaskEntry {
  const task = job.task(0, step, index);
  if (task === undefined) {
    throw new Error(`no task ${step}.${index}`);
  }
  return task;
}
