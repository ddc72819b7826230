import type { CompletedOutcome } from './completed-outcome.js';

/** Guarantees that no upstream has begun the request, and none ever will. */
export interface NotRunOutcome {
  readonly kind: 'not-run';
  readonly step: string;
  readonly peer: string;
  readonly reason: string;
}

/** The request may have run. */
type UnknownOutcome = Omit<NotRunOutcome, 'kind'> & {
  readonly kind: 'unknown';
};

/** Outcome of a request. */
export type RunOutcome = CompletedOutcome | NotRunOutcome | UnknownOutcome;
