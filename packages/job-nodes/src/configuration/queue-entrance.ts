import type { QueueSettings } from '@basilcourse/jobs/model/queue-settings';

/** A queue and the way in which callers address it. */
export interface QueueEntrance {
  readonly host: string;
  readonly pathPrefix: string;
  readonly settings: QueueSettings;
}
