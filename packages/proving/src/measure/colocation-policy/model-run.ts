import type { TaskEntry } from '@basilcourse/jobs/state/task-entry';

/** A run on a model minion. */
export class ModelRun {
  /** Share of full speed, 0 to 1. */
  public share = 1;

  /** Batch: milliseconds of work done at full speed. */
  public worked: number;

  /** Serving: milliseconds of work that wait. */
  public backlog = 0;

  /** Serving: tail latency in milliseconds; batch: cores in use. */
  public measured = 0;

  public readonly task: TaskEntry;

  public readonly run: number;

  public constructor(task: TaskEntry) {
    this.task = task;
    this.run = task.run;
    this.worked = Number(task.checkpoint);
  }
}
