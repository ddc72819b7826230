/** Processor time that a leader needs for each agent to forecast loads. */
const CORES_PER_AGENT = 0.01;

/**
 * Returns whether a leader has the processor time to forecast loads and to move
 * throttled tasks. A leader with less keeps it for jobs, leases and reports; its
 * agents then throttle once a bound is exceeded.
 */
export function affordsForecasts(
  processorCores: number,
  agents: number,
): boolean {
  return processorCores >= agents * CORES_PER_AGENT;
}
