/** Load of one upstream as its agent last reported it. */
export interface UpstreamLoad {
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  /** Mean time to serve one request; 0 while none has been measured. */
  readonly serviceMilliseconds: number;
  /** Requests of this entry that were in flight when the report arrived. */
  readonly ownInFlight: number;
}
