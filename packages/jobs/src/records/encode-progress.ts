import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { TaskPhase } from '../state/task-phase.js';
import type {
  ProgressRecord,
  TaskPhaseLetter,
  TaskRow,
} from './progress-record.js';

const PHASE_LETTERS: Readonly<Record<TaskPhase, TaskPhaseLetter>> = {
  waiting: 'w',
  assigned: 'a',
  done: 'd',
  failed: 'f',
};

/**
 * Returns the progress record of a job: its occurrences that are done, and the
 * tasks of the others that have started.
 */
export function encodeProgress(job: JobEntry): ProgressRecord {
  const incarnations: string[] = [];
  const tasks: TaskRow[] = [];
  for (const task of job.tasks()) {
    if (task.run > 0) {
      tasks.push(encodeTask(task, incarnations));
    }
  }
  const doneOccurrences = job.doneOccurrences.toRows();
  return {
    ...(job.ended === undefined
      ? {}
      : { ended: job.ended, endedAt: job.endedAt }),
    begun: job.begun,
    ...(doneOccurrences.length === 0 ? {} : { doneOccurrences }),
    incarnations,
    tasks,
  };
}

function encodeTask(task: TaskEntry, incarnations: string[]): TaskRow {
  return [
    task.occurrence,
    task.step,
    task.index,
    PHASE_LETTERS[task.phase],
    task.run,
    task.failedRuns,
    positionOf(task.incarnation, incarnations),
    task.phase === 'done' ? '' : task.checkpoint,
  ];
}

function positionOf(incarnation: string, incarnations: string[]): number {
  if (incarnation === '') {
    return -1;
  }
  const position = incarnations.indexOf(incarnation);
  return position >= 0 ? position : incarnations.push(incarnation) - 1;
}
