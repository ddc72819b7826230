/** Wall clock and monotonic clock of a process. */
export interface TimeSource {
  /** Unix milliseconds; never set back or forward while the process runs. */
  readonly now: () => number;
  /** Milliseconds of the monotonic clock. */
  readonly steady: () => number;
}
