import type { TaskPhase } from './task-phase.js';

/** Number of tasks in each phase, of one step of one occurrence. */
export class PhaseTally {
  /** Number of tasks of the step. */
  public readonly total: number;

  private readonly counts: Record<TaskPhase, number>;

  public constructor(total: number) {
    this.total = total;
    this.counts = { waiting: total, assigned: 0, done: 0, failed: 0 };
  }

  /** Number of tasks in a phase. */
  public count(phase: TaskPhase): number {
    return this.counts[phase];
  }

  /** Whether all tasks are done. */
  public get allDone(): boolean {
    return this.counts.done === this.total;
  }

  /** Counts a task that changes its phase. */
  public move(before: TaskPhase, after: TaskPhase): void {
    this.counts[before] -= 1;
    this.counts[after] += 1;
  }
}
