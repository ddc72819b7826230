import type { JobSpecification } from '../model/job-specification.js';
import type { QueueSettings } from '../model/queue-settings.js';

/** An accepted job; the record is written once. */
export interface JobRecord {
  readonly specification: JobSpecification;
  readonly queue: QueueSettings;
  readonly acceptedAt: number;
}
