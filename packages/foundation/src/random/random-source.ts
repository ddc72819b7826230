/** Generates random numbers. */
export interface RandomSource {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly next: () => number;
}
