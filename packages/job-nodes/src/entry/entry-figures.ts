import type { LeaderStatistics } from '../leader/leader-statistics.js';

/** What an entry believes at one moment. */
export interface EntryFigures extends LeaderStatistics {
  readonly leads: boolean;
  readonly configurationVersion: number;
}
