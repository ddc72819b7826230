/** A run that an order starts. */
export interface RunOrder {
  readonly task: string;
  readonly run: number;
  /** `work_ms=N`, `lasting`, or the former with `saves`. */
  readonly payload: string;
  readonly checkpoint: string;
}
