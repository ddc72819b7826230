/** Harm of one pair of images. */
export interface HarmRow {
  readonly serving: string;
  readonly filling: string;
  /** Slowdown that one busy core of the filling image adds. */
  readonly harm: number;
  /** Observations behind the estimate. */
  readonly observations: number;
}
