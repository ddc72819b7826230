import type { EndReason } from '../model/end-reason.js';
import type { RunEnd } from '../model/run-end.js';
import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Time before a task that failed starts again. */
const RESTART_DELAY_MILLISECONDS = 100;

type EndHandler = (
  job: JobEntry,
  task: TaskEntry,
  end: RunEnd,
  now: number,
) => void;

function releaseForRestart(
  _job: JobEntry,
  task: TaskEntry,
  end: RunEnd,
  now: number,
): void {
  recordCheckpoint(task, end);
  task.release(now);
}

function recordCheckpoint(task: TaskEntry, end: RunEnd): void {
  if (end.checkpoint !== '') {
    task.checkpoint = end.checkpoint;
  }
}

/** Handlers of the end of a task's current run, by its reason. */
export const END_HANDLERS: Readonly<Record<EndReason, EndHandler>> = {
  done: (_job, task, _end, now) => {
    if (task.specification.longRunning) {
      task.release(now);
    } else {
      task.end('done');
    }
  },
  failed: (job, task, end, now) => {
    recordCheckpoint(task, end);
    if (task.specification.longRunning) {
      task.release(now + RESTART_DELAY_MILLISECONDS);
      return;
    }
    task.failedRuns += 1;
    if (task.failedRuns >= job.queue.maximumAttempts) {
      task.end('failed');
    } else {
      task.release(now + RESTART_DELAY_MILLISECONDS);
    }
  },
  stopped: releaseForRestart,
  lapsed: releaseForRestart,
  broken: releaseForRestart,
  alone: releaseForRestart,
};
