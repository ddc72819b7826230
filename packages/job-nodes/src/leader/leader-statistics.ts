/** A leader's statistics at one moment. */
export interface LeaderStatistics {
  /** Agents with an open stream. */
  readonly agents: number;
  readonly jobs: number;
  /** Jobs of which no task has begun. */
  readonly waitingJobs: number;
  /** Time for which the ready task that waits longest has waited. */
  readonly longestWaitMilliseconds: number;
  /** Time since the start of the unanswered append; 0 if there is none. */
  readonly pendingAppendMilliseconds: number;
}
