/** One measurement that shows the load of a serving job. */
export interface LoadSample {
  /** Middle of the measured interval, in Unix milliseconds. */
  readonly at: number;
  /** Tail latency of the task with the least interference, in milliseconds. */
  readonly tailLatency: number;
  /** Slowdown by batch tasks that is expected of that task; 1 for none. */
  readonly expectedSlowdown: number;
}
