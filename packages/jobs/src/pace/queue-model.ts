/**
 * Tail latency of a task that serves, as of one server with a queue: the floor
 * times the slowdown, over the idle share that the slowdown leaves.
 *
 * Kleinrock, "Queueing Systems", volume 1, 1975, M/M/1.
 */

/** Load of a task of which the tail is not slowed down by neighbours. */
export function loadOf(quietTail: number, floor: number): number {
  return quietTail > floor ? 1 - floor / quietTail : 0;
}

/** Slowdown that explains a tail; 1 for none. */
export function slowdownOf(tail: number, floor: number, load: number): number {
  return Math.max(1, tail / (floor + load * tail));
}

/** Slowdown under which the tail stays within a bound. */
export function allowedSlowdown(
  bound: number,
  floor: number,
  load: number,
): number {
  return Math.max(1, bound / (floor + load * bound));
}
