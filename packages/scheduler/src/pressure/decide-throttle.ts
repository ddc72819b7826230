import type { ServiceTimeWindows } from './service-time-windows.js';

/** Lowest share of its processors to which a batch task is throttled. */
export const MINIMUM_SHARE = 0.2;

/** Factor by which the share decreases while a service misses its target. */
const DECREASE_FACTOR = 0.6;

/** Step by which the share increases again. */
const INCREASE_STEP = 0.1;

/** Ratio of tail latency to tolerated latency below which shares increase. */
const INCREASE_THRESHOLD = 0.95;

/** Latency weight at or above which no latency over the target is tolerated. */
const STRICT_LATENCY_WEIGHT = 0.8;

/** Change to the processor shares of the batch tasks on a VM. */
export type ThrottleDirection = 'decrease' | 'keep' | 'increase';

/** Input of the throttling decision for one VM. */
export interface ThrottleInput {
  /** Weight of tail latency against batch throughput, 0 to 1. */
  readonly latencyWeight: number;
  readonly services: readonly {
    readonly attempt: string;
    readonly targetMilliseconds: number;
  }[];
  readonly serviceTimes: ServiceTimeWindows;
}

function highestLatencyRatio({
  services,
  serviceTimes,
}: ThrottleInput): number | undefined {
  const ratios = services.flatMap(({ attempt, targetMilliseconds }) => {
    const high = serviceTimes.highPercentile(attempt);
    return high === undefined ? [] : [high / targetMilliseconds];
  });
  return ratios.length === 0 ? undefined : Math.max(...ratios);
}

/**
 * Decides how to throttle batch tasks that share a VM with a service:
 * multiplicative decrease above the tolerated latency, additive increase well
 * below it. The band in between leaves shares unchanged to avoid oscillation.
 */
export function decideThrottle(input: ThrottleInput): ThrottleDirection {
  const ratio = highestLatencyRatio(input);
  if (input.services.length === 0) {
    return 'increase';
  }
  if (ratio === undefined) {
    return 'keep';
  }
  // A lower latency weight tolerates more latency before batch is throttled.
  const tolerance =
    1 + Math.max(0, STRICT_LATENCY_WEIGHT - input.latencyWeight);
  if (ratio > tolerance) {
    return 'decrease';
  }
  return ratio < INCREASE_THRESHOLD * tolerance ? 'increase' : 'keep';
}

const nextShareByDirection: Readonly<
  Record<ThrottleDirection, (share: number) => number>
> = {
  decrease: share => Math.max(MINIMUM_SHARE, share * DECREASE_FACTOR),
  keep: share => share,
  increase: share => Math.min(1, share + INCREASE_STEP),
};

/** Returns the share of one batch task after one throttling step. */
export function nextShare(share: number, direction: ThrottleDirection): number {
  return nextShareByDirection[direction](share);
}
