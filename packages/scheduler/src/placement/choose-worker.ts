import { fits } from '@basilcourse/shared-state/resources/fits';

import type { Candidate } from './candidate.js';
import type { PlacementRequest } from './placement-request.js';
import type { Scorer, ScoringContext } from './scorer.js';

/** The worker chosen for a task, with its score and candidate counts. */
export interface Choice {
  readonly worker: string;
  readonly score: number;
  /** Number of candidates. */
  readonly considered: number;
  /** Number of candidates with enough available resources. */
  readonly fitting: number;
}

/** Chooses the best-scored candidate with enough available resources. */
export function chooseWorker(
  request: PlacementRequest,
  candidates: readonly Candidate[],
  scorer: Scorer,
  context: ScoringContext,
): Choice | undefined {
  const fitting = candidates.filter(candidate =>
    fits(request.resources, candidate.availableResources),
  );
  let best: Candidate | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  for (const candidate of fitting) {
    const score = scorer(request, candidate, context);
    if (score > bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  if (best === undefined) {
    return undefined;
  }
  return {
    worker: best.worker,
    score: bestScore,
    considered: candidates.length,
    fitting: fitting.length,
  };
}
