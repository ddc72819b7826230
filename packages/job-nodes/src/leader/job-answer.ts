import type { JobStatus } from '@basilcourse/jobs/model/job-status';

/** What the leader answers to an entry's call. */
export type JobAnswer =
  | { readonly kind: 'accepted' }
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterSeconds: number;
    }
  | { readonly kind: 'status'; readonly status: JobStatus }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'no-such-job' }
  | { readonly kind: 'pending'; readonly count: number }
  /** This process does not lead; nothing was done. */
  | { readonly kind: 'not-leading' }
  /** It lost the lead before it knew whether what it did is stored. */
  | { readonly kind: 'unknown' };
