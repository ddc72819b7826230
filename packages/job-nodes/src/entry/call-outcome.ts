import type { JobAnswer } from '../leader/job-answer.js';

/** Outcome of a call: the leader's answer, or none in time. */
export type CallOutcome =
  | Exclude<JobAnswer, { readonly kind: 'not-leading' | 'unknown' }>
  /** No leader answered in time; if `sent`, one may have acted on the call. */
  | { readonly kind: 'unavailable'; readonly sent: boolean };
