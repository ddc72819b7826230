import type { JobSpecification } from '../model/job-specification.js';
import type { JobEntry } from '../state/job-entry.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Bytes of a progress record beside its rows and ranges: its key, its end. */
const FIXED_BYTES = 640;

/**
 * Bytes of a row without a checkpoint: up to 400 of the incarnation, which may be
 * the only one of its minion, and 100 of numbers.
 */
const BARE_ROW_BYTES = 512;

/** Bytes of a range of occurrences: two exact integers, brackets and commas. */
const RANGE_BYTES = 40;

/** A job of at most this many tasks has their rows in its main record. */
const MAXIMUM_TASKS_IN_MAIN_RECORD = 128;

/** Tasks whose rows are stored together, if they are not in the main record. */
const MAXIMUM_TASKS_IN_PART = 32;

/** Where a task's row is if it is in the main record of its job. */
const MAIN_RECORD = '';

/**
 * Distributes the progress of jobs over records, so that each fits the store
 * whatever the job does: a record has the rows of a fixed set of tasks, and a row
 * has a maximum size.
 */
export class RecordLayout {
  /** Maximum size of a stored checkpoint as JSON, in bytes. */
  public readonly checkpointBytes: number;

  /** Occurrences of a job that may be open, so that its ranges fit. */
  public readonly maximumOpenOccurrences: number;

  private readonly tasksInMainRecord: number;

  private readonly tasksInPart: number;

  /**
   * @param recordBytes - Maximum size of a record, of its key and value together.
   */
  public constructor(recordBytes: number) {
    const rowsBytes = recordBytes - FIXED_BYTES;
    this.tasksInMainRecord = Math.min(
      MAXIMUM_TASKS_IN_MAIN_RECORD,
      Math.max(1, Math.floor(rowsBytes / BARE_ROW_BYTES)),
    );
    this.tasksInPart = Math.min(MAXIMUM_TASKS_IN_PART, this.tasksInMainRecord);
    const rowBytes = Math.floor(rowsBytes / this.tasksInMainRecord);
    this.checkpointBytes = Math.max(0, rowBytes - BARE_ROW_BYTES);
    // Ranges are separated by open occurrences, so there is one more of them.
    const ranges = Math.floor(rowsBytes / RANGE_BYTES);
    this.maximumOpenOccurrences = Math.max(1, ranges - 1);
  }

  /** Whether the rows of all tasks are in the main record of the job. */
  public isInMainRecord({ repetitions, steps }: JobSpecification): boolean {
    const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
    return repetitions === 0 && tasks <= this.tasksInMainRecord;
  }

  /**
   * Returns the name of the record with a task's row within its job: the
   * occurrence and the position of the record's first task in it; empty for the
   * main record.
   */
  public partOf(job: JobEntry, task: TaskEntry): string {
    if (this.isInMainRecord(job.specification)) {
      return MAIN_RECORD;
    }
    const position = job.positionOf(task);
    return `${task.occurrence}.${position - (position % this.tasksInPart)}`;
  }

  /** Returns the tasks whose rows a record has, by its name in the job. */
  public tasksOf(job: JobEntry, part: string): readonly TaskEntry[] {
    const [occurrence, first] = part.split('.').map(Number);
    return job.tasksFrom(occurrence ?? 0, first ?? 0, this.tasksInPart);
  }
}
