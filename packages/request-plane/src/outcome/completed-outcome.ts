import type { PlainHeaderField } from '../http/header-fields.js';

/** Outcome of a request that the upstream answered completely. */
export interface CompletedOutcome {
  readonly kind: 'completed';
  readonly status: number;
  readonly headers: readonly PlainHeaderField[];
  readonly body: Uint8Array;
}
