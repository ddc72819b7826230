import type { StartOrder } from '@basilcourse/jobs/model/start-order';

/** A start that was sent, and that no list of the minion has shown. */
export interface UnsettledStart {
  readonly order: Pick<StartOrder, 'task' | 'run' | 'longRunning'>;
  readonly fencingToken: number;
  /** Incarnation that the start was meant for; another one may carry it out. */
  readonly incarnation: string;
  /** Monotonic milliseconds at which the start was sent. */
  readonly sentAt: number;
}
