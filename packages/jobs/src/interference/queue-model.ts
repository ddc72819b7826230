/**
 * Models the tail latency of a serving task as that of a single server with a
 * queue: the unloaded tail latency times the slowdown, divided by the idle
 * share that remains at that slowdown.
 *
 * Kleinrock, "Queueing Systems", volume 1, 1975, M/M/1.
 */

/** Returns the load of a task from its tail latency without interference. */
export function loadOf(
  isolatedTailLatency: number,
  unloadedTailLatency: number,
): number {
  return isolatedTailLatency > unloadedTailLatency
    ? 1 - unloadedTailLatency / isolatedTailLatency
    : 0;
}

/** Returns the slowdown that explains a tail latency; 1 for none. */
export function slowdownOf(
  tailLatency: number,
  unloadedTailLatency: number,
  load: number,
): number {
  return Math.max(1, tailLatency / (unloadedTailLatency + load * tailLatency));
}

/** Returns the slowdown up to which the tail latency stays within a bound. */
export function allowedSlowdown(
  bound: number,
  unloadedTailLatency: number,
  load: number,
): number {
  return Math.max(1, bound / (unloadedTailLatency + load * bound));
}
