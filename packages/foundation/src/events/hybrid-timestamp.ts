/**
 * Timestamp of a hybrid logical clock.
 *
 * Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks",
 * OPODIS 2014.
 */
export interface HybridTimestamp {
  /** Largest wall time observed, in milliseconds since the Unix epoch. */
  readonly wall: number;
  /** Orders events that have the same wall time. */
  readonly logical: number;
}
