/** Assumed upper bound on the difference between any two clocks. */
export const CLOCK_ERROR_MILLISECONDS = 500;

/** Time after the placement decision during which an attempt may be started. */
export const START_WINDOW_MILLISECONDS = 5000;

/** Time without an answer after which a worker counts as unreachable. */
export const UNREACHABLE_TIMEOUT_MILLISECONDS = 3000;

/** Time for the graceful shutdown of a minion. */
export const SERVICE_GRACE_MILLISECONDS = 10_000;

/** Time for the graceful shutdown of a batch task. */
export const JOB_GRACE_MILLISECONDS = 2000;
