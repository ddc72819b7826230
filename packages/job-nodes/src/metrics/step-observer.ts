import type { ObservedStep } from './observed-step.js';

/** Takes in how a step ended, and how long it took. */
export type StepObserver = (
  step: ObservedStep,
  outcome: string,
  milliseconds: number,
) => void;
