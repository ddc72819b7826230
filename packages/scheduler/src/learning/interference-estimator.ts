import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

import type { InterferenceModel } from './interference-model.js';
import type { Neighbour } from './neighbour.js';

/** Maximum number of pairs of kinds with an estimate. */
const MAXIMUM_PAIRS = 20_000;

/** Slowdown assumed for a pair without observations. */
const PRIOR_SLOWDOWN = 0.05;

/** Number of observations that weigh as much as the prior. */
const PRIOR_OBSERVATIONS = 3;

/** Lower bound of the share of the error that one observation corrects. */
const MINIMUM_LEARNING_RATE = 0.3;

/** Cap on the observation count, which bounds its weight against the prior. */
const MAXIMUM_OBSERVATIONS = 60;

interface PairEstimate {
  readonly slowdown: number;
  readonly observations: number;
}

/**
 * Estimates slowdowns by normalised least mean squares over the neighbours of
 * a task, shrunk towards a prior while observations are few.
 *
 * Widrow and Hoff, "Adaptive Switching Circuits", IRE WESCON 1960. Cycles per
 * instruction as the sign of interference: Zhang et al., "CPI2: CPU performance
 * isolation for shared compute clusters", EuroSys 2013.
 */
export class InterferenceEstimator implements InterferenceModel {
  private readonly pairs = new BoundedMap<PairEstimate>(MAXIMUM_PAIRS);

  public readonly slowdown = (
    affectedKind: string,
    neighbourKind: string,
  ): number => {
    const estimate = this.pairs.get(`${affectedKind} ${neighbourKind}`);
    const observations = estimate?.observations ?? 0;
    const observed = observations * (estimate?.slowdown ?? 0);
    const prior = PRIOR_OBSERVATIONS * PRIOR_SLOWDOWN;
    return (observed + prior) / (observations + PRIOR_OBSERVATIONS);
  };

  /**
   * Updates the estimates from the relative slowdown of one task.
   *
   * @param neighbours - Other tasks on the worker at the time of measurement; a
   * throttled task counts in proportion to its share.
   */
  public observe(
    affectedKind: string,
    neighbours: readonly Neighbour[],
    slowdown: number,
  ): void {
    const counts = new Map<string, number>();
    for (const { taskKind, share } of neighbours) {
      counts.set(taskKind, (counts.get(taskKind) ?? 0) + share);
    }
    let predicted = 0;
    let norm = 0;
    for (const [neighbourKind, count] of counts) {
      predicted +=
        count * this.estimateOf(affectedKind, neighbourKind).slowdown;
      norm += count * count;
    }
    for (const [neighbourKind, count] of counts) {
      const before = this.estimateOf(affectedKind, neighbourKind);
      const rate = Math.max(
        MINIMUM_LEARNING_RATE,
        1 / (before.observations + 1),
      );
      const step = (rate * count * (slowdown - predicted)) / norm;
      this.pairs.set(`${affectedKind} ${neighbourKind}`, {
        slowdown: Math.max(0, before.slowdown + step),
        observations: Math.min(MAXIMUM_OBSERVATIONS, before.observations + 1),
      });
    }
  }

  private estimateOf(
    affectedKind: string,
    neighbourKind: string,
  ): PairEstimate {
    const key = `${affectedKind} ${neighbourKind}`;
    return this.pairs.get(key) ?? { slowdown: 0, observations: 0 };
  }
}
