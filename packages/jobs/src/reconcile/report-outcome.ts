import type { RunEnd } from '../model/run-end.js';
import type { StopOrder } from '../model/stop-order.js';
import type { JobEntry } from '../state/job-entry.js';

/** What a report has led to. */
export interface ReportOutcome {
  /** Ends up to this number may be forgotten once the changes are stored. */
  readonly endsThrough: number;
  /** Runs that have no business there. */
  readonly stops: readonly StopOrder[];
  /** Ends of current runs. */
  readonly ended: readonly RunEnd[];
  /** Jobs of which the first task runs or has run, new in this report. */
  readonly begun: readonly JobEntry[];
  /** Assigned runs that never began. */
  readonly neverBegan: readonly string[];
}
