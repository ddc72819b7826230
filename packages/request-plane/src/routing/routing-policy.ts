import type { RandomSource } from '@basilcourse/foundation/random/random-source';

import type { UpstreamCandidate } from './upstream-candidate.js';

/**
 * Chooses one of the candidates; undefined if there are none. `turn` is a
 * number that rises by one with each choice.
 */
export type RoutingPolicy = (
  candidates: readonly UpstreamCandidate[],
  random: RandomSource,
  turn: number,
) => UpstreamCandidate | undefined;
