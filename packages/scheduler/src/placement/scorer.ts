import type { InterferenceModel } from '../learning/interference-model.js';
import type { Candidate } from './candidate.js';
import type { PlacementRequest } from './placement-request.js';

/** Input of a scorer besides the request and the candidate. */
export interface ScoringContext {
  readonly interference: InterferenceModel;
  /** Weight of tail latency against batch throughput, 0 to 1. */
  readonly latencyWeight: number;
  /** Task kinds of services; their slowdown is weighted as latency. */
  readonly serviceKinds: ReadonlySet<string>;
}

/** Scores a candidate with enough available resources; the highest wins. */
export type Scorer = (
  request: PlacementRequest,
  candidate: Candidate,
  context: ScoringContext,
) => number;
