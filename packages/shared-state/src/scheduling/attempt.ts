import type { Resources } from '../records/resources.js';

/**
 * One attempt to run a task on one worker; active until it is certain to have
 * ended.
 */
export interface Attempt {
  /** Task and attempt number, such as `job/reconcile@1#2`. */
  readonly id: string;
  readonly task: string;
  readonly number: number;
  readonly worker: string;
  readonly cell: string;
  readonly epoch: number;
  readonly resources: Resources;
  readonly state: 'assigned' | 'evicting' | 'lost';
  readonly reason: string;
  /**
   * Time of the decision by the holder's clock, in milliseconds since the
   * epoch.
   */
  readonly placedAt: number;
  /**
   * Time since which an attempt of a service has kept idempotency keys without
   * interruption, by the holder's clock.
   */
  readonly keeperSince: number;
  /** Offset of the record that started this period. */
  readonly keeperSinceOffset: number;
}
