import type { StopOrder } from '@basilcourse/jobs/model/stop-order';

/** A start that was sent, and that no list of the minion has shown. */
export interface UnsettledStart {
  readonly order: StopOrder;
  readonly fencingToken: number;
  /** Incarnation that the start was meant for; another one may carry it out. */
  readonly incarnation: string;
  /** Monotonic milliseconds at which the start was sent. */
  readonly sentAt: number;
}
