import type { RunOutcome } from '../outcome/run-outcome.js';
import type { CallerRequest } from './caller-request.js';

/** Is notified of each answered or refused request, to record metrics. */
export interface RequestObserver {
  readonly ended: (
    request: CallerRequest,
    outcome: RunOutcome,
    milliseconds: number,
  ) => void;
  readonly refused: (status: number) => void;
}
