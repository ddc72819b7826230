import type { RunOutcome } from './run-outcome.js';

/** Creates the outcome of a request that was not run and never will be. */
export function notRunOutcome(
  step: string,
  peer: string,
  reason: string,
): RunOutcome {
  return { kind: 'not-run', step, peer, reason };
}

/** Creates the outcome of a request that may have run. */
export function unknownOutcome(
  step: string,
  peer: string,
  reason: string,
): RunOutcome {
  return { kind: 'unknown', step, peer, reason };
}
