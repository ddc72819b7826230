import type { RunEnd } from '../model/run-end.js';
import type { StopOrder } from '../model/stop-order.js';
import type { JobEntry } from '../state/job-entry.js';

/** Result of applying a report: changed jobs and tasks, and runs to stop. */
export interface ReportOutcome {
  /** The minion may drop ends up to this number once the changes are stored. */
  readonly endsThrough: number;
  /** Runs that are not assigned to the minion or whose job has ended. */
  readonly stops: readonly StopOrder[];
  /** Ends of current runs, and late successes that were accepted. */
  readonly ended: readonly RunEnd[];
  /** Jobs whose first run is in this report. */
  readonly begun: readonly JobEntry[];
  /** Names of tasks whose assigned runs never began. */
  readonly neverBegan: readonly string[];
}
