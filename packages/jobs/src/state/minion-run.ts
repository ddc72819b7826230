import type { TaskEntry } from './task-entry.js';

/** A run that is, or may be, on a minion. */
export interface MinionRun {
  readonly task: TaskEntry;
  readonly run: number;
}
