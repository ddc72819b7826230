import type { QueueSettings } from '@basilcourse/jobs/model/queue-settings';

/** A queue, with the host and path prefix by which callers address it. */
export interface QueueRoute {
  readonly host: string;
  readonly pathPrefix: string;
  readonly settings: QueueSettings;
}
