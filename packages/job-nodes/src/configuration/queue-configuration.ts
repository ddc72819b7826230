import type { QueueEntrance } from './queue-entrance.js';

/** The operators' configuration, as far as jobs need it. */
export interface QueueConfiguration {
  /** Rises with each change. */
  readonly version: number;
  readonly queues: readonly QueueEntrance[];
  readonly largestBodyBytes: number;
}
