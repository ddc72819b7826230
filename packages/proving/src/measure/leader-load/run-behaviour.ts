import type { StartOrder } from '@basilcourse/jobs/model/start-order';

/** Duration of a run and the measurement that the minion lists for it. */
export interface RunBehaviour {
  readonly durationMilliseconds: (order: StartOrder) => number;
  readonly gauge: (order: StartOrder, now: number) => number;
}
