import type { TimeSource } from '../time/time-source.js';
import type { ObservedStep } from './observed-step.js';
import type { StepObserver } from './step-observer.js';

/**
 * Runs a step and observes its duration; an error counts as no answer and is
 * rethrown.
 */
export async function timed<Result>(
  observe: StepObserver,
  time: TimeSource,
  step: ObservedStep,
  action: () => Promise<Result>,
): Promise<Result> {
  const startedAt = time.steady();
  let outcome = 'no-answer';
  try {
    const result = await action();
    outcome = 'answered';
    return result;
  } finally {
    observe(step, outcome, time.steady() - startedAt);
  }
}
