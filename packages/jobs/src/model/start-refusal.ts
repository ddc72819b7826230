/** A refused start; no run can begin under its run number any more. */
export interface StartRefusal {
  readonly task: string;
  readonly run: number;
  readonly reason: string;
}
