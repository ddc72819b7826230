/** A violation of an invariant, as observed by the stand-ins. */
export interface Violation {
  readonly kind: 'doubled' | 'overcommitted';
  readonly text: string;
  /** Time in milliseconds since the epoch. */
  readonly at: number;
}
