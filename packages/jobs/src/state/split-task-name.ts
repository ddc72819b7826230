/** Parts of a task's name: its job, occurrence, step and index. */
export interface TaskNameParts {
  readonly jobIdentifier: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Splits a task's name into its parts; undefined if it is not valid. */
export function splitTaskName(name: string): TaskNameParts | undefined {
  const [jobIdentifier, occurrence, step, index, ...rest] = name.split('.');
  const numbers = [occurrence, step, index].map(Number);
  if (
    jobIdentifier === undefined ||
    rest.length > 0 ||
    !numbers.every(number => Number.isSafeInteger(number) && number >= 0)
  ) {
    return undefined;
  }
  const [first = 0, second = 0, third = 0] = numbers;
  return { jobIdentifier, occurrence: first, step: second, index: third };
}
