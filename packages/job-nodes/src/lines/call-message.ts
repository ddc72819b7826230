import type { JobCall } from '../leader/job-call.js';

/** A call that an entry passes to the leader. */
export interface CallMessage {
  /** Epoch of the leader that the call is for; no other acts on it. */
  readonly epoch: number;
  readonly call: JobCall;
}
