import type { InterferenceModel } from '../learning/interference-model.js';
import { MINIMUM_SHARE } from '../pressure/decide-throttle.js';

/** Slowdown of a service that batch may cause at a latency weight of 1. */
const MINIMUM_BUDGET = 0.1;

const MINIMUM_LATENCY_WEIGHT = 0.1;

/** Slowdown below which a task starts unthrottled. */
const NEGLIGIBLE_SLOWDOWN = 0.01;

/** Number of tasks on a worker, by their kinds. */
type Neighbours = ReadonlyMap<string, number>;

/** Input of the interference predictions. */
interface InterferenceContext {
  readonly interference: InterferenceModel;
  readonly serviceKinds: ReadonlySet<string>;
  /** Weight of tail latency against batch throughput, 0 to 1. */
  readonly latencyWeight: number;
}

/** Slowdown that batch may cause to a service, given the latency weight. */
export function interferenceBudget(latencyWeight: number): number {
  return MINIMUM_BUDGET / Math.max(latencyWeight, MINIMUM_LATENCY_WEIGHT);
}

function highestServiceSlowdown(
  { serviceKinds }: InterferenceContext,
  neighbours: Neighbours,
  slowdownOf: (service: string) => number,
): number {
  const services = [...neighbours.keys()].filter(kind =>
    serviceKinds.has(kind),
  );
  return Math.max(0, ...services.map(slowdownOf));
}

function currentSlowdown(
  { interference, serviceKinds }: InterferenceContext,
  neighbours: Neighbours,
  service: string,
): number {
  let sum = 0;
  for (const [kind, count] of neighbours) {
    if (!serviceKinds.has(kind)) {
      sum += count * interference.slowdown(service, kind);
    }
  }
  return sum;
}

/** Share of its processors with which a batch task starts. */
export function initialShare(
  context: InterferenceContext,
  neighbours: Neighbours,
  taskKind: string,
): number {
  const budget = interferenceBudget(context.latencyWeight);
  const current = highestServiceSlowdown(context, neighbours, service =>
    currentSlowdown(context, neighbours, service),
  );
  const added = highestServiceSlowdown(context, neighbours, service =>
    context.interference.slowdown(service, taskKind),
  );
  if (added < NEGLIGIBLE_SLOWDOWN) {
    return 1;
  }
  const share = (budget - current) / added;
  return Math.min(1, Math.max(MINIMUM_SHARE, share));
}

/**
 * Returns whether a batch task may run beside the services of a worker: with
 * all batch throttled to the minimum share, the slowdown of each service must
 * stay within the budget.
 */
export function isWithinBudget(
  context: InterferenceContext,
  neighbours: Neighbours,
  taskKind: string,
): boolean {
  const total = highestServiceSlowdown(
    context,
    neighbours,
    service =>
      currentSlowdown(context, neighbours, service) +
      context.interference.slowdown(service, taskKind),
  );
  return total * MINIMUM_SHARE <= interferenceBudget(context.latencyWeight);
}
