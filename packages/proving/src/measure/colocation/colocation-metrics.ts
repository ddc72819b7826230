/** Results of one case of the colocation measurement. */
export interface ColocationMetrics {
  /** 99th percentile of the services' slowdown; 1 means no interference. */
  readonly serviceSlowdownPercentile: number;
  readonly serviceMeanSlowdown: number;
  /** Batch work done, in seconds of a run without interference. */
  readonly batchSeconds: number;
  readonly finishedJobs: number;
  readonly evictions: number;
  /** Share of batch work that was done and lost. */
  readonly lostShare: number;
  readonly urgentStartSeconds: readonly number[];
  readonly violations: number;
}
