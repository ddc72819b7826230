import type { JobEntry } from '../state/job-entry.js';

/** Creates the occurrences of a scheduled job that are due. */
export function addDueOccurrences(job: JobEntry, now: number): void {
  const { repetitions, firstDueAt, intervalMilliseconds } = job.specification;
  if (job.ended !== undefined) {
    return;
  }
  for (let number = job.occurrences.size; number < repetitions; number += 1) {
    if (firstDueAt + number * intervalMilliseconds > now) {
      return;
    }
    job.addOccurrence(number);
  }
}
