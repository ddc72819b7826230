/** Order to start one run of a task. */
export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly checkpoint: string;
  /** Bound of the tail latency; 0 for tasks that serve nobody. */
  readonly tailTargetMilliseconds: number;
  readonly filling: boolean;
}
