/** A violation of an invariant, as observed by the stand-ins. */
export interface Violation {
  /**
   * `doubled`: a task runs twice at the same time; `overcommitted`: the tasks
   * on a worker exceed its size.
   */
  readonly kind: 'doubled' | 'overcommitted';
  readonly text: string;
  /** Time in milliseconds since the Unix epoch. */
  readonly at: number;
}
