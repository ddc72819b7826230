/** A snapshot whose digest was checked. */
export interface VerifiedSnapshot {
  /** Offset of the first record that the snapshot does not include. */
  readonly next: number;
  readonly text: string;
}
