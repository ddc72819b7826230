import { pickOne } from '@basilcourse/foundation/random/pick-one';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';

import type { RoutingPolicy } from './routing-policy.js';
import type { UpstreamCandidate } from './upstream-candidate.js';

/** Candidates compared for one request, against all choosing the same. */
const SAMPLE_SIZE = 4;

const MINIMUM_SERVICE_MILLISECONDS = 0.1;

function outstandingRequests(candidate: UpstreamCandidate): number {
  return candidate.inFlight + candidate.othersInFlight;
}

/** Expected time to completion of one more request, in milliseconds. */
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

/** Some candidates in drawn order, so that entries spread over equal ones. */
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
 * Policies by name; `expected-time` is in use, the others are baselines.
 *
 * Round robin and least connections are those of the Linux Virtual Server.
 * Sampling few candidates: Mitzenmacher, "The Power of Two Choices in
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

/** Names of the policies. */
export type RoutingPolicyName = keyof typeof routingPolicies;
