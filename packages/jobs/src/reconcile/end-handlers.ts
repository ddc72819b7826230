import type { EndReason } from '../model/end-reason.js';
import type { RunEnd } from '../model/run-end.js';
import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Pause before a task that failed starts again. */
const FAILED_PAUSE_MILLISECONDS = 100;

type EndHandler = (
  job: JobEntry,
  task: TaskEntry,
  end: RunEnd,
  now: number,
) => void;

function startAgain(
  _job: JobEntry,
  task: TaskEntry,
  end: RunEnd,
  now: number,
): void {
  keepCheckpoint(task, end);
  task.release(now);
}

function keepCheckpoint(task: TaskEntry, end: RunEnd): void {
  if (end.checkpoint !== '') {
    task.checkpoint = end.checkpoint;
  }
}

/** What the end of a task's current run changes, by its reason. */
export const END_HANDLERS: Readonly<Record<EndReason, EndHandler>> = {
  done: (_job, task, _end, now) => {
    if (task.specification.longRunning) {
      task.release(now);
    } else {
      task.finish('done');
    }
  },
  failed: (job, task, end, now) => {
    keepCheckpoint(task, end);
    if (task.specification.longRunning) {
      task.release(now + FAILED_PAUSE_MILLISECONDS);
      return;
    }
    task.failedRuns += 1;
    if (task.failedRuns >= job.queue.maximumAttempts) {
      task.finish('failed');
    } else {
      task.release(now + FAILED_PAUSE_MILLISECONDS);
    }
  },
  stopped: startAgain,
  lapsed: startAgain,
  broken: startAgain,
  alone: startAgain,
};
