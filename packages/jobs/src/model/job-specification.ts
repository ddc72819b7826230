import type { StepSpecification } from './step-specification.js';

/** A job as its caller handed it in. */
export interface JobSpecification {
  readonly identifier: string;
  /** Name of the queue that took the job. */
  readonly queue: string;
  /** Opaque text that is passed to each task. */
  readonly payload: string;
  readonly steps: readonly StepSpecification[];
  /** Times that the steps run; 0 for once, at once. */
  readonly repetitions: number;
  /** Unix milliseconds at which the first occurrence is due. */
  readonly firstDueAt: number;
  readonly intervalMilliseconds: number;
}
