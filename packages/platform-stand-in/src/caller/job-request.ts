/** A job as a test's caller hands it in. */
export interface JobRequest {
  /** 16 hexadecimal digits. */
  readonly identifier: string;
  readonly payload: string;
  readonly steps: readonly StepRequest[];
  /** Number of occurrences; 0 for a single one that is due at once. */
  readonly repetitions: number;
  readonly intervalMilliseconds: number;
}

interface StepRequest {
  readonly tasks: number;
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  /** Numbers of the steps that must be done first. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  readonly lasting: boolean;
}
