/** Tail latency of one serving task, as its minion lists it. */
export interface TailLatencySample {
  readonly job: string;
  readonly image: string;
  readonly task: string;
  /** Of the last half second, in milliseconds; 0 if there is no measurement. */
  readonly tailLatency: number;
  /** Bound of the tail latency, in milliseconds. */
  readonly bound: number;
  /** Slowdown by the batch tasks beside the task, as estimated; 1 for none. */
  readonly expectedSlowdown: number;
}
