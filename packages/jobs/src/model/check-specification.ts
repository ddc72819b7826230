import type { JobSpecification } from './job-specification.js';

const MAXIMUM_TASKS = 10_000;

const MAXIMUM_STEPS = 64;

/** Characters of an image, a rack or a label, which orders and reports repeat. */
const MAXIMUM_NAME_CHARACTERS = 256;

/** Returns the reason why a job is not valid; undefined if it is valid. */
export function checkSpecification(
  specification: JobSpecification,
): string | undefined {
  const { steps } = specification;
  if (steps.length === 0 || steps.length > MAXIMUM_STEPS) {
    return `a job has 1 to ${MAXIMUM_STEPS} steps, found ${steps.length}`;
  }
  const tasks = steps.reduce((sum, step) => sum + step.taskCount, 0);
  if (steps.some(step => step.taskCount < 1) || tasks > MAXIMUM_TASKS) {
    return `a step has 1 task or more, and a job at most ${MAXIMUM_TASKS}`;
  }
  const invalid = steps.findIndex((step, number) =>
    step.after.some(earlier => earlier >= number),
  );
  if (invalid >= 0) {
    return `step ${invalid} names a step in "after" that is not an earlier one`;
  }
  const tooLong = steps.findIndex(step =>
    [step.image, step.dataRack, step.requiredLabel].some(
      ({ length }) => length > MAXIMUM_NAME_CHARACTERS,
    ),
  );
  if (tooLong >= 0) {
    return `step ${tooLong} has an image, a rack or a label of more than ${MAXIMUM_NAME_CHARACTERS} characters`;
  }
  return undefined;
}
