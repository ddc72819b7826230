import { pickOne } from '@basilcourse/foundation/random/pick-one';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';

import type { RoutingPolicy } from './routing-policy.js';
import type { UpstreamCandidate } from './upstream-candidate.js';

/**
 * Number of candidates compared for one request. Comparing all of them would
 * make every entry choose the same upstream.
 */
const SAMPLE_SIZE = 4;

const MINIMUM_SERVICE_MILLISECONDS = 0.1;

function outstandingRequests(candidate: UpstreamCandidate): number {
  return candidate.inFlight + candidate.othersInFlight;
}

/** Expected milliseconds until one more request would be completed. */
export function expectedCompletionMilliseconds(
  candidate: UpstreamCandidate,
): number {
  const serviceMilliseconds = Math.max(
    candidate.serviceMilliseconds,
    MINIMUM_SERVICE_MILLISECONDS,
  );
  const requestsAhead = outstandingRequests(candidate) - candidate.slots + 1;
  const waitMilliseconds =
    requestsAhead > 0
      ? (requestsAhead * serviceMilliseconds) / candidate.slots
      : 0;
  const load = outstandingRequests(candidate) / candidate.slots;
  return serviceMilliseconds * (1 + load) + waitMilliseconds;
}

function candidateWithLowestCost(
  candidates: readonly UpstreamCandidate[],
  cost: (candidate: UpstreamCandidate) => number,
): UpstreamCandidate | undefined {
  let best: UpstreamCandidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const candidateCost = cost(candidate);
    if (candidateCost < bestCost) {
      best = candidate;
      bestCost = candidateCost;
    }
  }
  return best;
}

/**
 * Samples candidates in random order, so that entries break ties differently.
 */
function sampleCandidates(
  candidates: readonly UpstreamCandidate[],
  random: RandomSource,
): readonly UpstreamCandidate[] {
  const remaining = [...candidates];
  const chosen: UpstreamCandidate[] = [];
  while (chosen.length < SAMPLE_SIZE) {
    const candidate = pickOne(remaining, random);
    if (candidate === undefined) {
      break;
    }
    remaining.splice(remaining.indexOf(candidate), 1);
    chosen.push(candidate);
  }
  return chosen;
}

/**
 * Routing policies by name. `expected-time` is the default; the others are
 * baselines for comparison.
 *
 * Round robin and least connections are those of the Linux Virtual Server.
 * Sampling a few candidates: Mitzenmacher, "The Power of Two Choices in
 * Randomized Load Balancing", IEEE TPDS 2001.
 */
export const routingPolicies = {
  'round-robin': (candidates, _random, turn) =>
    candidates[turn % Math.max(1, candidates.length)],
  'least-connections': candidates =>
    candidateWithLowestCost(
      candidates,
      ({ inFlight, slots }) => inFlight / slots,
    ),
  'expected-time': (candidates, random) =>
    candidateWithLowestCost(
      sampleCandidates(candidates, random),
      expectedCompletionMilliseconds,
    ),
} as const satisfies Readonly<Record<string, RoutingPolicy>>;

/** Name of a routing policy. */
export type RoutingPolicyName = keyof typeof routingPolicies;
