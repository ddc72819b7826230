/** What callers and serving tasks got from a policy. */
export interface PolicyFigures {
  /** Seconds that serving tasks were over their bounds, summed over tasks. */
  readonly violatedSeconds: number;
  readonly batchJobs: number;
  /** Batch jobs that were completed within their objective. */
  readonly inAim: number;
  readonly completed: number;
  /** Orders to throttle. */
  readonly throttles: number;
  readonly moves: number;
}
