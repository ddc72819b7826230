import type { JobEntry } from '../state/job-entry.js';

/**
 * Tasks of occurrences that have not started, above which a job gets no further
 * ones. They suffice to use the capacity that becomes free until the next call.
 */
const MAXIMUM_UNSTARTED_TASKS = 200;

/**
 * Tasks of all open occurrences, above which a job gets no further ones. It
 * bounds the memory of a job.
 */
const MAXIMUM_OPEN_TASKS = 2000;

/**
 * Creates the occurrences of a scheduled job that are due, the earliest first.
 * A job may be behind its schedule by any number of them, so only as many are
 * created as can soon start; the others follow as these do.
 *
 * @param maximumOpen - Maximum number of occurrences that are open at once.
 */
export function addDueOccurrences(
  job: JobEntry,
  now: number,
  maximumOpen = Number.POSITIVE_INFINITY,
): void {
  if (job.ended !== undefined || job.specification.repetitions === 0) {
    return;
  }
  let room = Math.min(
    occurrencesThatFit(job),
    maximumOpen - job.occurrences.size,
  );
  let number = nextOccurrence(job, 0);
  while (room > 0 && isDue(job, number, now)) {
    job.addOccurrence(number);
    room -= 1;
    number = nextOccurrence(job, number + 1);
  }
}

/** Returns the lowest number, from the given one on, that was not created. */
function nextOccurrence(job: JobEntry, from: number): number {
  let number = job.doneOccurrences.nextMissing(from);
  while (job.occurrences.has(number)) {
    number = job.doneOccurrences.nextMissing(number + 1);
  }
  return number;
}

function isDue(job: JobEntry, number: number, now: number): boolean {
  const { repetitions, firstDueAt, intervalMilliseconds } = job.specification;
  const dueAt = firstDueAt + number * intervalMilliseconds;
  return number < repetitions && dueAt <= now;
}

/** Returns how many more occurrences may be created; one if none is open. */
function occurrencesThatFit(job: JobEntry): number {
  const { steps } = job.specification;
  const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  const open = job.occurrences.size;
  const unstarted = job.countUnstartedOccurrences();
  return Math.min(
    Math.max(1, Math.floor(MAXIMUM_OPEN_TASKS / tasks)) - open,
    Math.max(1, Math.floor(MAXIMUM_UNSTARTED_TASKS / tasks)) - unstarted,
  );
}
