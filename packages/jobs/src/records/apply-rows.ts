import type { JobEntry } from '../state/job-entry.js';
import type { JobTable } from '../state/job-table.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { TaskPhase } from '../state/task-phase.js';
import type { TaskPhaseLetter, TaskRow, TaskRows } from './task-rows.js';

const PHASES: Readonly<Record<TaskPhaseLetter, TaskPhase>> = {
  w: 'waiting',
  a: 'assigned',
  d: 'done',
  f: 'failed',
};

/** Order of the phases of one run. */
const PHASE_RANKS: Readonly<Record<TaskPhase, number>> = {
  assigned: 0,
  waiting: 1,
  done: 2,
  failed: 2,
};

/**
 * Applies stored rows to the table, and returns their tasks. Runs that were on a
 * minion count as still running there until its agent reports or its lease
 * expires. While rows are moved between records a task may have two; the later
 * one holds.
 *
 * @param now - Present time; the leases of minions whose agents have not
 * reported yet count from here.
 */
export function applyRows(
  table: JobTable,
  job: JobEntry,
  { tasks: rows, incarnations }: TaskRows,
  now: number,
): readonly TaskEntry[] {
  const tasks: TaskEntry[] = [];
  for (const row of rows) {
    const [occurrence, step, index] = row;
    if (job.doneOccurrences.has(occurrence)) {
      continue;
    }
    job.addOccurrence(occurrence);
    const task = job.task(occurrence, step, index);
    if (task !== undefined) {
      tasks.push(task);
      if (isLater(row, task)) {
        applyRow(table, task, row, incarnations, now);
      }
    }
  }
  return tasks;
}

function isLater([, , , letter, run]: TaskRow, task: TaskEntry): boolean {
  return run === task.run
    ? PHASE_RANKS[PHASES[letter]] > PHASE_RANKS[task.phase]
    : run > task.run;
}

function applyRow(
  table: JobTable,
  task: TaskEntry,
  row: TaskRow,
  incarnations: readonly string[],
  now: number,
): void {
  const [, , , letter, run, failedRuns, position, checkpoint, confirmed] = row;
  const incarnation = incarnations[position] ?? '';
  table.minions.get(task.incarnation)?.removeRun(task.name, task.run);
  task.phase = PHASES[letter];
  task.run = run;
  task.failedRuns = failedRuns;
  task.checkpoint = checkpoint;
  task.incarnation = incarnation;
  if (task.phase === 'assigned') {
    task.startSent = true;
    task.confirmed = confirmed === 1;
    task.assignedAt = now;
    task.progressAt = now;
    table.getOrAddMinion(incarnation, now).addRun(task, run);
  }
}
