import type { LeaderFigures } from '../leader/leader-figures.js';

/** What an entry believes at one moment. */
export interface EntryFigures extends LeaderFigures {
  readonly leads: boolean;
  readonly configurationVersion: number;
}
