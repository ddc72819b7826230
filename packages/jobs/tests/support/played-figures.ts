/** What was measured in a play of rounds of planning. */
export interface PlayedFigures {
  /** Time from acceptance to the first start by job; until the end for none. */
  readonly firstStarts: ReadonlyMap<string, number>;
  /** Longest time for which a job stood still with room for a task twice over. */
  readonly longestStandstill: number;
}
