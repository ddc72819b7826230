import type { LeaderStatistics } from '../leader/leader-statistics.js';

/** State of an entry at one moment, for its metrics. */
export interface EntryStatistics extends LeaderStatistics {
  readonly leads: boolean;
  readonly configurationVersion: number;
}
