import type { JobSpecification } from '../model/job-specification.js';
import type { JobStatus } from '../model/job-status.js';
import type { QueueSettings } from '../model/queue-settings.js';
import { NumberRanges } from './number-ranges.js';
import { PhaseTally } from './phase-tally.js';
import { TaskEntry } from './task-entry.js';

/** State of an accepted job on the leader. */
export class JobEntry {
  /** How the job ended; undefined while it has not. */
  public ended: 'completed' | 'failed' | 'cancelled' | undefined;

  public endedAt = 0;

  /** Whether the store has confirmed the record of the end. */
  public endStored = false;

  /** Whether rows of its tasks are stored; not once the store refused them. */
  public storesRows = true;

  /** Whether a minion has reported a run of any task, or its end. */
  public begun = false;

  public queue: QueueSettings;

  /** Tasks of the open occurrences by occurrence, step and index. */
  public readonly occurrences = new Map<number, TaskEntry[][]>();

  /** Occurrences whose tasks are all done, and are no longer kept. */
  public readonly doneOccurrences = new NumberRanges();

  /** Phases of the tasks by occurrence and step. */
  private readonly tallies = new Map<number, readonly PhaseTally[]>();

  /** Position of each step's first task among the tasks of an occurrence. */
  private readonly stepPositions: readonly number[];

  public readonly specification: JobSpecification;

  /** Unix milliseconds at which the job was accepted. */
  public readonly acceptedAt: number;

  public constructor(
    specification: JobSpecification,
    queue: QueueSettings,
    acceptedAt: number,
  ) {
    this.specification = specification;
    this.queue = queue;
    this.acceptedAt = acceptedAt;
    let position = 0;
    this.stepPositions = specification.steps.map(({ taskCount }) => {
      position += taskCount;
      return position - taskCount;
    });
    if (specification.repetitions === 0) {
      this.addOccurrence(0);
    }
  }

  /** Creates the tasks of one occurrence unless they exist. */
  public addOccurrence(occurrence: number): readonly TaskEntry[][] {
    const existing = this.occurrences.get(occurrence);
    if (existing !== undefined) {
      return existing;
    }
    const { identifier, steps } = this.specification;
    const tallies: PhaseTally[] = [];
    const tasks = steps.map((step, stepNumber) => {
      const tally = new PhaseTally(step.taskCount);
      tallies.push(tally);
      return Array.from(
        { length: step.taskCount },
        (_, index) =>
          new TaskEntry(identifier, occurrence, stepNumber, index, step, tally),
      );
    });
    this.tallies.set(occurrence, tallies);
    this.occurrences.set(occurrence, tasks);
    return tasks;
  }

  /** Number of open occurrences of which no task has started yet. */
  public countUnstartedOccurrences(): number {
    let count = 0;
    for (const tallies of this.tallies.values()) {
      count += Number(
        tallies.every(tally => tally.count('waiting') === tally.total),
      );
    }
    return count;
  }

  /**
   * Removes the tasks of occurrences that are done, and returns them. The tasks
   * of a job without a schedule stay.
   */
  public dropDoneOccurrences(): readonly TaskEntry[] {
    if (this.specification.repetitions === 0) {
      return [];
    }
    const dropped: TaskEntry[] = [];
    for (const [occurrence, tallies] of this.tallies) {
      if (tallies.every(({ allDone }) => allDone)) {
        dropped.push(...(this.occurrences.get(occurrence) ?? []).flat());
        this.occurrences.delete(occurrence);
        this.tallies.delete(occurrence);
        this.doneOccurrences.addRange(occurrence, occurrence);
      }
    }
    return dropped;
  }

  /** Yields each task of the open occurrences. */
  public *tasks(): Generator<TaskEntry> {
    for (const steps of this.occurrences.values()) {
      for (const tasks of steps) {
        yield* tasks;
      }
    }
  }

  /** Returns a task by its occurrence, step and index. */
  public task(
    occurrence: number,
    step: number,
    index: number,
  ): TaskEntry | undefined {
    return this.occurrences.get(occurrence)?.[step]?.[index];
  }

  /** Returns the position of a task among those of its occurrence. */
  public positionOf({ step, index }: TaskEntry): number {
    return (this.stepPositions[step] ?? 0) + index;
  }

  /** Returns tasks of an open occurrence by their positions in it. */
  public tasksFrom(
    occurrence: number,
    position: number,
    count: number,
  ): readonly TaskEntry[] {
    const steps = this.occurrences.get(occurrence) ?? [];
    return steps.flatMap((tasks, step) => {
      const first = position - (this.stepPositions[step] ?? 0);
      return tasks.slice(Math.max(0, first), Math.max(0, first + count));
    });
  }

  /** Returns the phases of the tasks of an occurrence, by step. */
  public talliesOf(occurrence: number): readonly PhaseTally[] {
    return this.tallies.get(occurrence) ?? [];
  }

  /** Returns whether any task is assigned to a minion. */
  public hasAssignedTasks(): boolean {
    return [...this.tallies.values()].some(tallies =>
      tallies.some(tally => tally.count('assigned') > 0),
    );
  }

  /** Status that is reported to callers. */
  public get status(): JobStatus {
    return this.ended ?? (this.begun ? 'running' : 'queued');
  }

  /** Total number of occurrences, including those that were not created yet. */
  public get occurrenceCount(): number {
    return Math.max(1, this.specification.repetitions);
  }

  /** Ends the job if all its tasks are done, or one has failed for good. */
  public endIfFinished(now: number): void {
    if (this.ended !== undefined) {
      return;
    }
    const created = this.occurrences.size + this.doneOccurrences.count;
    let allDone = created === this.occurrenceCount;
    for (const tally of [...this.tallies.values()].flat()) {
      if (tally.count('failed') > 0) {
        this.end('failed', now);
        return;
      }
      allDone &&= tally.allDone;
    }
    if (allDone) {
      this.end('completed', now);
    }
  }

  public end(status: 'completed' | 'failed' | 'cancelled', now: number): void {
    this.ended = status;
    this.endedAt = now;
  }
}
