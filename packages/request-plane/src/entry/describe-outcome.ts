import type { RunOutcome } from '../outcome/run-outcome.js';

/** Text of the event at a request's end; for a failure with step and peer. */
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
