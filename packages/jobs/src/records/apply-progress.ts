import type { JobEntry } from '../state/job-entry.js';
import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { TaskPhase } from '../state/task-phase.js';
import type {
  ProgressRecord,
  TaskPhaseLetter,
  TaskRow,
} from './progress-record.js';

const PHASES: Readonly<Record<TaskPhaseLetter, TaskPhase>> = {
  w: 'waiting',
  a: 'assigned',
  d: 'done',
  f: 'failed',
};

/**
 * Applies a stored record to the table. Runs that were on a minion count as
 * still running there until its agent reports or its lease expires.
 *
 * @param now - Present time; the leases of minions whose agents have not
 * reported yet count from here.
 */
export function applyProgress(
  table: JobTable,
  job: JobEntry,
  record: ProgressRecord,
  now: number,
): void {
  job.begun = record.begun ?? false;
  job.ended = record.ended;
  job.endedAt = record.endedAt ?? 0;
  job.endStored = record.ended !== undefined;
  for (const [first, last] of record.doneOccurrences ?? []) {
    job.doneOccurrences.addRange(first, last);
  }
  for (const row of record.tasks) {
    const [occurrence, step, index] = row;
    job.addOccurrence(occurrence);
    const task = job.task(occurrence, step, index);
    if (task !== undefined) {
      applyRow(table, task, row, record.incarnations, now);
    }
  }
}

function applyRow(
  table: JobTable,
  task: TaskEntry,
  row: TaskRow,
  incarnations: readonly string[],
  now: number,
): void {
  const [, , , letter, run, failedRuns, position, checkpoint] = row;
  const incarnation = incarnations[position] ?? '';
  task.phase = PHASES[letter];
  task.run = run;
  task.failedRuns = failedRuns;
  task.checkpoint = checkpoint;
  if (task.phase === 'assigned') {
    task.incarnation = incarnation;
    task.startSent = true;
    task.assignedAt = now;
    task.progressAt = now;
    table.getOrAddMinion(incarnation, now).addRun(task, run);
  }
}
