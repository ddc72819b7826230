import type { Capacity } from './capacity.js';

/** One life of a minion, as its agent describes it. */
export interface MinionDescription {
  /** Names this life; a minion that starts again has another. */
  readonly incarnation: string;
  readonly service: string;
  readonly zone: string;
  readonly capacity: Capacity;
  readonly labels: readonly string[];
  readonly draining: boolean;
  /** Least time that is left while it drains. */
  readonly remainingMilliseconds: number;
}
