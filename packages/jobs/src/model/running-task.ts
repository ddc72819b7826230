/** A run that a minion lists as running. */
export interface RunningTask {
  readonly task: string;
  readonly run: number;
  /** Newest checkpoint; empty for none. */
  readonly checkpoint: string;
  /** Share of the work done, 0 to 100. */
  readonly percent: number;
  /**
   * Measurement of the last half second: tail latency in milliseconds for a
   * serving task, millicores in use for others.
   */
  readonly gauge: number;
}
