/** Service times and injected faults of an upstream stand-in. */
export interface UpstreamBehaviour {
  /** Service time of one request without interference. */
  readonly serviceMilliseconds: () => number;
  /** Current factor on the service time; 1 without slowdown. */
  readonly slowdownFactor: () => number;
  /** Share of responses with status 503. */
  readonly failedResponseShare: number;
  /** Share of responses that end in the middle of the body. */
  readonly truncatedResponseShare: number;
}
