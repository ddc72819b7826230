import type { QueueSettings } from '@basilcourse/jobs/model/queue-settings';

/** The operators' configuration, as far as jobs need it. */
export interface QueueConfiguration {
  /** Rises with each change. */
  readonly version: number;
  readonly queues: readonly QueueEntrance[];
  readonly largestBodyBytes: number;
}

/** A queue and the way in which callers address it. */
export interface QueueEntrance {
  readonly host: string;
  readonly pathPrefix: string;
  readonly settings: QueueSettings;
}
