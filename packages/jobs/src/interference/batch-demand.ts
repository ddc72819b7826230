/** Processor time that the tasks of a batch image would use on one minion. */
export interface BatchDemand {
  /** Busy cores of all its tasks at full speed. */
  readonly cores: number;
  /** Cores that one task requests. */
  readonly coresPerTask: number;
}
