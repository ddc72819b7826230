import type { Candidate } from './candidate.js';
import type { PlacementRequest } from './placement-request.js';
import type { Scorer, ScoringContext } from './scorer.js';

const RACK_WEIGHT = 2;

const ZONE_WEIGHT = 0.5;

const SAME_WORKER_WEIGHT = 4;

const INTERFERENCE_WEIGHT = 10;

const PACKING_WEIGHT = 0.3;

const SPREAD_WEIGHT = 0.3;

const ACCELERATOR_WEIGHT = 1;

const PREVIOUS_FAILURE_WEIGHT = 5;

function availableShare({ availableResources, capacity }: Candidate): number {
  const processors =
    availableResources.processors / Math.max(1, capacity.processors);
  const memory =
    availableResources.memoryGigabytes / Math.max(1, capacity.memoryGigabytes);
  return (processors + memory) / 2;
}

function spreadPenalty(candidate: Candidate): number {
  return (
    RACK_WEIGHT * candidate.sameServiceInRack +
    ZONE_WEIGHT * candidate.sameServiceInZone +
    SAME_WORKER_WEIGHT * candidate.sameServiceOnWorker
  );
}

function weightOf(kind: string, context: ScoringContext): number {
  const { latencyWeight, serviceKinds } = context;
  return serviceKinds.has(kind) ? latencyWeight : 1 - latencyWeight;
}

function interferenceCost(
  request: PlacementRequest,
  candidate: Candidate,
  context: ScoringContext,
): number {
  const { interference } = context;
  let sum = 0;
  for (const [neighbourKind, count] of candidate.neighbours) {
    const caused = interference.slowdown(neighbourKind, request.taskKind);
    const suffered = interference.slowdown(request.taskKind, neighbourKind);
    sum += count * weightOf(neighbourKind, context) * caused;
    sum += count * weightOf(request.taskKind, context) * suffered;
  }
  return sum;
}

function wastedAccelerators(
  request: PlacementRequest,
  candidate: Candidate,
): number {
  const needed = request.resources.accelerators > 0;
  return needed || candidate.availableResources.accelerators === 0 ? 0 : 1;
}

const leastInterference: Scorer = (request, candidate, context) => {
  const available = availableShare(candidate);
  const capacityScore =
    request.role === 'service'
      ? SPREAD_WEIGHT * available
      : -PACKING_WEIGHT * available;
  const spread = request.role === 'service' ? spreadPenalty(candidate) : 0;
  const failed = request.failedOn.includes(candidate.worker) ? 1 : 0;
  return (
    capacityScore -
    spread -
    INTERFERENCE_WEIGHT * interferenceCost(request, candidate, context) -
    ACCELERATOR_WEIGHT * wastedAccelerators(request, candidate) -
    PREVIOUS_FAILURE_WEIGHT * failed
  );
};

const separate: Scorer = (request, candidate, context) => {
  const otherRoleKinds = [...candidate.neighbours.keys()].filter(
    kind => context.serviceKinds.has(kind) !== (request.role === 'service'),
  );
  return (otherRoleKinds.length === 0 ? 0 : -1000) + availableShare(candidate);
};

/** Scorers by name; `least-harm` is the default, the others are baselines. */
export const scorers = {
  'first-fit': () => 0,
  'least-assigned': (_request, candidate) => availableShare(candidate),
  separate,
  'least-harm': leastInterference,
} as const satisfies Readonly<Record<string, Scorer>>;

/** Names of the scorers. */
export type ScorerName = keyof typeof scorers;
