import type { JobStatus } from '@basilcourse/jobs/model/job-status';

/** The leader's answer to an entry's call. */
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
  /** This process is not the leader; nothing was done. */
  | { readonly kind: 'not-leading' }
  /** Leadership was lost before the change was confirmed as stored. */
  | { readonly kind: 'unknown' };
