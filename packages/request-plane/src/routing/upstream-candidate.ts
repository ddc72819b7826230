/** An upstream that a request may be sent to, with its agent and its load. */
export interface UpstreamCandidate {
  readonly agentId: string;
  readonly agentAddress: string;
  readonly agentInstance: string;
  readonly attempt: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Requests that this entry has sent there and that are not answered yet. */
  readonly inFlight: number;
  /** Requests of other entries running or waiting there, as last reported. */
  readonly othersInFlight: number;
  /** Estimated time to serve one request; 0 while there is no estimate. */
  readonly serviceMilliseconds: number;
  /** Whether heartbeats of its agent are missing. */
  readonly suspect: boolean;
}
