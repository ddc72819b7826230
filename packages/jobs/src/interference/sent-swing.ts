/** A swing of a load, relative to the moment at which it is sent. */
export interface SentSwing {
  readonly mean: number;
  readonly amplitude: number;
  readonly periodMilliseconds: number;
  readonly millisecondsUntilPeak: number;
}
