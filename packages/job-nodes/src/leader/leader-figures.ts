/** What a leader believes at one moment. */
export interface LeaderFigures {
  /** Agents with an open stream. */
  readonly agents: number;
  readonly jobs: number;
  /** Jobs of which no task has begun. */
  readonly waitingJobs: number;
  /** Time for which the store has owed an answer to an append. */
  readonly owedMilliseconds: number;
}
