import type { TaskEntry } from '../state/task-entry.js';
import type { TaskPhase } from '../state/task-phase.js';
import type { TaskPhaseLetter, TaskRow, TaskRows } from './task-rows.js';

const PHASE_LETTERS: Readonly<Record<TaskPhase, TaskPhaseLetter>> = {
  waiting: 'w',
  assigned: 'a',
  done: 'd',
  failed: 'f',
};

/** Most bytes that a character of a string takes in JSON. */
const MAXIMUM_BYTES_PER_CHARACTER = 6;

/**
 * Returns the rows of those tasks that have started.
 *
 * @param checkpointBytes - A checkpoint that takes more bytes as JSON is left
 * out; unless a minion still has it, its task begins anew under the next leader.
 */
export function encodeRows(
  tasks: Iterable<TaskEntry>,
  checkpointBytes: number,
): TaskRows {
  const incarnations: string[] = [];
  const rows: TaskRow[] = [];
  for (const task of tasks) {
    if (task.run > 0) {
      rows.push(encodeTask(task, incarnations, checkpointBytes));
    }
  }
  return { incarnations, tasks: rows };
}

function encodeTask(
  task: TaskEntry,
  incarnations: string[],
  checkpointBytes: number,
): TaskRow {
  const isStored =
    task.phase !== 'done' && fits(task.checkpoint, checkpointBytes);
  const row = [
    task.occurrence,
    task.step,
    task.index,
    PHASE_LETTERS[task.phase],
    task.run,
    task.failedRuns,
    positionOf(task.incarnation, incarnations),
    isStored ? task.checkpoint : '',
  ] as const;
  return task.confirmed ? [...row, 1] : row;
}

function fits(checkpoint: string, maximumBytes: number): boolean {
  return (
    checkpoint.length * MAXIMUM_BYTES_PER_CHARACTER <= maximumBytes ||
    Buffer.byteLength(JSON.stringify(checkpoint)) <= maximumBytes
  );
}

function positionOf(incarnation: string, incarnations: string[]): number {
  if (incarnation === '') {
    return -1;
  }
  const position = incarnations.indexOf(incarnation);
  return position >= 0 ? position : incarnations.push(incarnation) - 1;
}
