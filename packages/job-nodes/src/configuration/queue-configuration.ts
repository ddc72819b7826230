import type { QueueRoute } from './queue-route.js';

/** The part of the operators' configuration that concerns jobs. */
export interface QueueConfiguration {
  /** Increases with each change. */
  readonly version: number;
  readonly queues: readonly QueueRoute[];
  readonly largestBodyBytes: number;
}
