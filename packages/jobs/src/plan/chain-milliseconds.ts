import type { StepSpecification } from '../model/step-specification.js';

/**
 * Returns, for each step, the estimated time from its start to the end of the
 * job along the longest chain of steps that follow it.
 */
export function chainMilliseconds(
  steps: readonly StepSpecification[],
): readonly number[] {
  const chains = steps.map(() => 0);
  for (let number = steps.length - 1; number >= 0; number -= 1) {
    const following = steps
      .map((step, other) => (step.after.includes(number) ? other : -1))
      .filter(other => other > number)
      .map(other => chains[other] ?? 0);
    chains[number] =
      (steps[number]?.estimatedMilliseconds ?? 0) + Math.max(0, ...following);
  }
  return chains;
}
