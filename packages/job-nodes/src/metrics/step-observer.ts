import type { ObservedStep } from './observed-step.js';

/** Records the outcome and the duration of a step. */
export type StepObserver = (
  step: ObservedStep,
  outcome: string,
  milliseconds: number,
) => void;
