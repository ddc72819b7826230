/** Measured loads of one serving job. */
export interface JobLoadSnapshot {
  readonly job: string;
  readonly image: string;
  /**
   * Rows of Unix milliseconds, tail latency in milliseconds, and expected
   * slowdown, the oldest first.
   */
  readonly samples: readonly (readonly [number, number, number])[];
}
