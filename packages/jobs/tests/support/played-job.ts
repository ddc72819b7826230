import type { StepSpecification } from '../../src/model/step-specification.js';

/** A job that is accepted at a time; a run of its tasks works for as long. */
export interface PlayedJob {
  readonly name: string;
  readonly at: number;
  readonly workMilliseconds: number;
  readonly steps: readonly StepSpecification[];
}
