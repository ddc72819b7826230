/** Provides the current time. */
export interface Clock {
  /** Milliseconds since the Unix epoch. */
  readonly now: () => number;
}
