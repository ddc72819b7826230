import type { JobSpecification } from '@basilcourse/jobs/model/job-specification';
import type { QueueSettings } from '@basilcourse/jobs/model/queue-settings';

/** A call that an entry makes to the leader on behalf of a caller. */
export type JobCall =
  | {
      readonly kind: 'submit';
      readonly specification: JobSpecification;
      readonly queue: QueueSettings;
    }
  | {
      readonly kind: 'status';
      readonly identifier: string;
      readonly queue: string;
    }
  | {
      readonly kind: 'cancel';
      readonly identifier: string;
      readonly queue: string;
    }
  | { readonly kind: 'pending'; readonly queue: string };
