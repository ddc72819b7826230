/** Estimated interference of a batch image with a serving image. */
export interface InterferenceRow {
  readonly serving: string;
  readonly filling: string;
  /** Slowdown that one busy core of the batch image adds. */
  readonly harm: number;
  /** Observations behind the estimate. */
  readonly observations: number;
}
