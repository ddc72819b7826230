import type { JobSpecification } from '../model/job-specification.js';
import type { JobStatus } from '../model/job-status.js';
import type { QueueSettings } from '../model/queue-settings.js';
import { TaskEntry } from './task-entry.js';

/** One accepted job, as the leader sees it. */
export class JobEntry {
  /** Why the job is over; undefined while it is not. */
  public ended: 'completed' | 'failed' | 'cancelled' | undefined;

  public endedAt = 0;

  /** The end is known to be stored. */
  public endStored = false;

  /** Some task has been started. */
  public begun = false;

  public queue: QueueSettings;

  /** Tasks by occurrence, step and index. */
  public readonly occurrences = new Map<number, TaskEntry[][]>();

  public readonly specification: JobSpecification;

  /** Unix milliseconds of the acceptance. */
  public readonly acceptedAt: number;

  public constructor(
    specification: JobSpecification,
    queue: QueueSettings,
    acceptedAt: number,
  ) {
    this.specification = specification;
    this.queue = queue;
    this.acceptedAt = acceptedAt;
    if (specification.repetitions === 0) {
      this.addOccurrence(0);
    }
  }

  /** Creates the tasks of one occurrence unless they exist. */
  public addOccurrence(occurrence: number): readonly TaskEntry[][] {
    const known = this.occurrences.get(occurrence);
    if (known !== undefined) {
      return known;
    }
    const { identifier, steps } = this.specification;
    const tasks = steps.map((step, stepNumber) =>
      Array.from(
        { length: step.taskCount },
        (_, index) =>
          new TaskEntry(identifier, occurrence, stepNumber, index, step),
      ),
    );
    this.occurrences.set(occurrence, tasks);
    return tasks;
  }

  /** Every task of the occurrences that exist. */
  public *tasks(): Generator<TaskEntry> {
    for (const steps of this.occurrences.values()) {
      for (const tasks of steps) {
        yield* tasks;
      }
    }
  }

  /** Returns a task by its place. */
  public task(
    occurrence: number,
    step: number,
    index: number,
  ): TaskEntry | undefined {
    return this.occurrences.get(occurrence)?.[step]?.[index];
  }

  /** What callers are told. */
  public get status(): JobStatus {
    return this.ended ?? (this.begun ? 'running' : 'queued');
  }

  /** Occurrences that the job has in all. */
  public get occurrenceCount(): number {
    return Math.max(1, this.specification.repetitions);
  }

  /** Ends the job if all its tasks are done or one has failed for good. */
  public endIfOver(now: number): void {
    if (this.ended !== undefined) {
      return;
    }
    let allDone = this.occurrences.size === this.occurrenceCount;
    for (const { phase } of this.tasks()) {
      if (phase === 'failed') {
        this.end('failed', now);
        return;
      }
      allDone &&= phase === 'done';
    }
    if (allDone) {
      this.end('completed', now);
    }
  }

  /** Ends the job. */
  public end(how: 'completed' | 'failed' | 'cancelled', now: number): void {
    this.ended = how;
    this.endedAt = now;
  }
}
