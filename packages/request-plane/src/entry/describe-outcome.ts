import type { RunOutcome } from '../outcome/run-outcome.js';

/** Text of the event that ends a request; with step and peer for a failure. */
export function describeOutcome(
  outcome: RunOutcome,
  milliseconds: number,
): string {
  const ending = `${outcome.kind} after ${milliseconds} ms`;
  if (outcome.kind === 'completed') {
    return `${ending}.`;
  }
  return `${ending}: ${outcome.step} (peer ${outcome.peer}): ${outcome.reason}`;
}
