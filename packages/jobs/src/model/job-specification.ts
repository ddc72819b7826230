import type { StepSpecification } from './step-specification.js';

/** A job as its caller submitted it. */
export interface JobSpecification {
  readonly identifier: string;
  /** Name of the queue that accepted the job. */
  readonly queue: string;
  /** Opaque text that is passed to each task. */
  readonly payload: string;
  readonly steps: readonly StepSpecification[];
  /** Number of occurrences; 0 for a single one that is due at once. */
  readonly repetitions: number;
  /** Unix milliseconds at which the first occurrence is due. */
  readonly firstDueAt: number;
  readonly intervalMilliseconds: number;
}
