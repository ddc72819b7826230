/** Load of a job while the next share is in effect. */
export interface ExpectedLoad {
  /** In milliseconds; 0 if the leader has sent none. */
  readonly unloadedTailLatency: number;
  readonly load: number;
  /** Load during the newest measurement. */
  readonly measuredLoad: number;
  /** The load is forecast and free of interference. */
  readonly forecast: boolean;
}
