import type { RunOutcome } from '../outcome/run-outcome.js';
import type { CallerRequest } from './caller-request.js';

/** Receives each request that was answered or refused; for metrics. */
export interface RequestObserver {
  readonly ended: (
    request: CallerRequest,
    outcome: RunOutcome,
    milliseconds: number,
  ) => void;
  readonly refused: (status: number) => void;
}
