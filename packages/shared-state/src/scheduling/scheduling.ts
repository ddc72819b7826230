import type { Attempt } from './attempt.js';
import type { Cell } from './cell.js';
import type { PastMinion } from './past-minion.js';
import type { TaskProgress } from './task-progress.js';
import type { Worker } from './worker.js';

/**
 * Leases, workers, attempts and tasks; the same in all processes at one offset
 * of the log.
 */
export interface Scheduling {
  readonly cells: ReadonlyMap<string, Cell>;
  readonly workers: ReadonlyMap<string, Worker>;
  /** Attempts that are not certain to have ended. */
  readonly attempts: ReadonlyMap<string, Attempt>;
  readonly tasks: ReadonlyMap<string, TaskProgress>;
  /** Periods in which past minions kept keys, by attempt and start time. */
  readonly pastMinions: ReadonlyMap<string, PastMinion>;
  /** Active attempts of one worker. */
  readonly attemptsOn: (worker: string) => readonly Attempt[];
  /** Active attempts of one service or job. */
  readonly attemptsOf: (owner: string) => readonly Attempt[];
  /** Cell whose lease holder decides for a task; undefined without workers. */
  readonly ownerCell: (task: string) => string | undefined;
}
