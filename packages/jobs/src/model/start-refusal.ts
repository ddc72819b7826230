/** A refused start; no run begins under its run number any more. */
export interface StartRefusal {
  readonly task: string;
  readonly run: number;
  readonly reason: string;
}
