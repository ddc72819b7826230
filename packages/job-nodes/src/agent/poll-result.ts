import type { RunEnd } from '@basilcourse/jobs/model/run-end';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';

/** State of the minion at the time of a poll. */
export interface PollResult {
  /** The minion's clock at the time of the answer. */
  readonly clock: number;
  readonly running: readonly RunningTask[];
  readonly ends: readonly RunEnd[];
  /** Whether the minion has more ends, which it lists once these are stored. */
  readonly hasMoreEnds: boolean;
}
