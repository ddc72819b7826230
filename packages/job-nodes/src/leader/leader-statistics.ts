/** A leader's statistics at one moment. */
export interface LeaderStatistics {
  /** Agents with an open stream. */
  readonly agents: number;
  readonly jobs: number;
  /** Jobs of which no task has begun. */
  readonly waitingJobs: number;
  /** Time since the append that the store has not yet answered; 0 for none. */
  readonly pendingAppendMilliseconds: number;
}
