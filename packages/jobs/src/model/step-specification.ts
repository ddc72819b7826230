/** One step of a job: a number of equal tasks. */
export interface StepSpecification {
  readonly taskCount: number;
  /** Thousandths of a core that each task requests. */
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
  /** The caller's rough estimate of a task's duration. */
  readonly estimatedMilliseconds: number;
  /** Numbers of the steps whose tasks must all be done first. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  /** The tasks run only together and end together. */
  readonly gang: boolean;
  /** The tasks are slower when they span racks. */
  readonly tightlyCoupled: boolean;
  /** Label that the minion must have; empty for any. */
  readonly requiredLabel: string;
  /** Rack that holds the data; empty for any. */
  readonly dataRack: string;
  /** Maximum number of tasks of the step on one minion; 0 for no limit. */
  readonly maximumPerMinion: number;
  /** Copies may run in parallel. */
  readonly copiesAllowed: boolean;
  /** The tasks run until the job is cancelled. */
  readonly longRunning: boolean;
  /** Image that the tasks run; tasks of one image behave alike. */
  readonly image: string;
  /** Bound of the tasks' tail latency; 0 for tasks that are not serving. */
  readonly tailTargetMilliseconds: number;
  /** Batch tasks, which use the processor time that other tasks leave. */
  readonly filling: boolean;
  /** Number of tasks that the scheduler itself may stop at the same time. */
  readonly missAllowance: number;
}
