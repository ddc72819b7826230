/** Outcome of a soak. */
export interface SoakResult {
  readonly jobs: number;
  readonly starts: number;
  readonly troubles: number;
  /** Appends that the store refused for what they contained. */
  readonly refusedAppends: number;
  /** Descriptions of what was broken. */
  readonly breaches: readonly string[];
}
