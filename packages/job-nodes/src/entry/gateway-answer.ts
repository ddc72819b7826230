import type { JobAnswer } from '../leader/job-answer.js';

/** Answer to a caller's request, or why there is none. */
export type GatewayAnswer =
  | Exclude<JobAnswer, { readonly kind: 'not-leading' }>
  /** No leader was found in time; `sent` tells whether any was asked. */
  | { readonly kind: 'unavailable'; readonly sent: boolean };
