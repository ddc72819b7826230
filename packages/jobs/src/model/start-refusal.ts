/** A start that did not happen, and never will under this run number. */
export interface StartRefusal {
  readonly task: string;
  readonly run: number;
  readonly reason: string;
}
