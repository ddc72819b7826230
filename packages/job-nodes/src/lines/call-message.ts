import type { JobCall } from '../leader/job-call.js';

/** A call that an entry forwards to the leader. */
export interface CallMessage {
  /** Epoch of the addressed leader; any other leader rejects the call. */
  readonly epoch: number;
  readonly call: JobCall;
}
