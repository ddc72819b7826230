/** The two clocks of a process. */
export interface TimeSource {
  /** Unix milliseconds; does not jump while the process lives. */
  readonly now: () => number;
  /** Milliseconds on the steady clock. */
  readonly steady: () => number;
}
