import type { LoadResult } from './load-result.js';

/** Number of requests of a load for each outcome. */
export type OutcomeCounts = Readonly<Record<LoadResult['outcome'], number>>;

/** Counts the outcomes of a load. */
export function countOutcomes(results: readonly LoadResult[]): OutcomeCounts {
  const count = (outcome: LoadResult['outcome']): number =>
    results.filter(result => result.outcome === outcome).length;
  return {
    completed: count('completed'),
    'not-run': count('not-run'),
    unknown: count('unknown'),
    crossed: count('crossed'),
    broken: count('broken'),
  };
}
