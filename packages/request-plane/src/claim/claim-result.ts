import type { RunOutcome } from '../outcome/run-outcome.js';

/** Result of a claim on an idempotency key. */
export type ClaimResult =
  | {
      /** The request is the first under its key and may run. */
      readonly kind: 'first';
    }
  | {
      /** The request must not run; `outcome` is its outcome. */
      readonly kind: 'settled';
      readonly outcome: RunOutcome;
    };
