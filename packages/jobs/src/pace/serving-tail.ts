/** Tail latency of one serving task, as its minion lists it. */
export interface ServingTail {
  readonly job: string;
  readonly image: string;
  readonly task: string;
  /** Of the last half second, in milliseconds; 0 for none. */
  readonly tail: number;
  /** Bound of the tail, in milliseconds. */
  readonly bound: number;
}
