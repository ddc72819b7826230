/** Precedes the identifier in the key of an accepted job. */
export const JOB_KEY_PREFIX = 'job/';

/** Precedes the identifier in the key of a job's progress. */
export const PROGRESS_KEY_PREFIX = 'progress/';
