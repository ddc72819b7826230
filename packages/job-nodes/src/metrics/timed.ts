import type { TimeSource } from '../time/time-source.js';
import type { ObservedStep } from './observed-step.js';
import type { StepObserver } from './step-observer.js';

/** Carries out a step and observes it; an error counts as no answer. */
export async function timed<Result>(
  observe: StepObserver,
  time: TimeSource,
  step: ObservedStep,
  action: () => Promise<Result>,
): Promise<Result> {
  const beganAt = time.steady();
  let outcome = 'no-answer';
  try {
    const result = await action();
    outcome = 'answered';
    return result;
  } finally {
    observe(step, outcome, time.steady() - beganAt);
  }
}
