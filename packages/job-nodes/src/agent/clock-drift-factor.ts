/** A minion's clock may be slower than the agent's by this factor. */
export const CLOCK_DRIFT_FACTOR = 1.02;
