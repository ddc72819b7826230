import type { RunEnd } from '../model/run-end.js';
import type { StopOrder } from '../model/stop-order.js';

/** What a report has led to. */
export interface ReportOutcome {
  /** Ends up to this number may be forgotten once the changes are stored. */
  readonly endsThrough: number;
  /** Runs that have no business there. */
  readonly stops: readonly StopOrder[];
  /** Ends of current runs. */
  readonly ended: readonly RunEnd[];
  /** Assigned runs that never began. */
  readonly neverBegan: readonly string[];
}
