import type { Capacity } from './capacity.js';

/** One incarnation of a minion, as its agent describes it. */
export interface MinionDescription {
  /** Identifies the process; a minion that restarts has another one. */
  readonly incarnation: string;
  readonly service: string;
  readonly zone: string;
  readonly capacity: Capacity;
  readonly labels: readonly string[];
  readonly draining: boolean;
  /** Whether it does not answer its agent; absent if it does. */
  readonly silent?: boolean;
  /** Minimum time until a draining minion stops. */
  readonly remainingMilliseconds: number;
}
