import type { TaskProgress } from './task-progress.js';

/** Progress of a task before its first attempt. */
export function newTaskProgress(task: string): TaskProgress {
  return {
    task,
    attempts: 0,
    active: '',
    evictions: 0,
    failures: 0,
    finished: false,
    checkpoint: '',
    forwardedTo: '',
    lastOutcome: 'none',
    lastReason: '',
    failedOn: [],
    unplaceable: '',
    endedAt: 0,
  };
}
