import type { ServingTask } from '@basilcourse/jobs/interference/decide-shares';

/** A serving task that the minion lists. */
export interface ListedServingTask extends Omit<
  ServingTask,
  'strainedMilliseconds'
> {
  readonly task: string;
  /** Load during the measurement of the tail latency. */
  readonly measuredLoad: number;
}
