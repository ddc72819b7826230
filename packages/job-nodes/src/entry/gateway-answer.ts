import type { JobAnswer } from '../leader/job-answer.js';

/** Answer to a caller's request, or the reason why there is none. */
export type GatewayAnswer =
  | Exclude<JobAnswer, { readonly kind: 'not-leading' | 'unknown' }>
  /** No leader answered in time; with `sent`, one may have acted. */
  | { readonly kind: 'unavailable'; readonly sent: boolean };
