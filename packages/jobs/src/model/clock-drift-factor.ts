/** The clock of a minion may be slower than that of a process by this factor. */
export const CLOCK_DRIFT_FACTOR = 1.02;
