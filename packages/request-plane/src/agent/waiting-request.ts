/** A request that waits for a slot. */
export interface WaitingRequest {
  readonly requestId: string;
  readonly team: string;
  /** Time after which it must not start, in milliseconds since the epoch. */
  readonly deadline: number;
  /** Position in the queue: the start tag of start-time fair queueing. */
  readonly tag: number;
  readonly grant: () => void;
  readonly refuse: (reason: string) => void;
}
