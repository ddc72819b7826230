/** Prefix of the key of an accepted job; the job's identifier follows. */
export const JOB_KEY_PREFIX = 'job/';

/** Key of what the leader has learned of images and loads. */
export const ESTIMATES_KEY = 'estimates/newest';

/**
 * Prefix of the keys of a job's progress. The job's identifier follows and, for
 * rows that are not in the main record, a slash and the name of their part.
 */
export const PROGRESS_KEY_PREFIX = 'progress/';

/** Separates the identifier of a job from the name of a part. */
export const PART_SEPARATOR = '/';
