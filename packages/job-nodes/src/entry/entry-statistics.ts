import type { LeaderFigures } from '../leader/leader-figures.js';

/** State of an entry at one moment, for its metrics. */
export interface EntryStatistics extends LeaderFigures {
  readonly leads: boolean;
  readonly configurationVersion: number;
}
