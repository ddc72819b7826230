/** What the tasks of a filling image would use on one minion. */
export interface FillingDemand {
  /** Busy cores of all its tasks at full speed. */
  readonly cores: number;
  /** Cores that one task asks for. */
  readonly coresPerTask: number;
}
