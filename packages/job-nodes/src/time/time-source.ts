/** Wall clock and monotonic clock of a process. */
export interface TimeSource {
  /** Unix milliseconds; does not jump during the process lifetime. */
  readonly now: () => number;
  /** Milliseconds of the monotonic clock. */
  readonly steady: () => number;
}
