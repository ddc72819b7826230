/** The agent that keeps a key. */
export interface KeyOwner {
  readonly address: string;
  /** Attempt of the minion beside the agent. */
  readonly attempt: string;
  /** Offset of the record that made the agent keep the key. */
  readonly sinceOffset: number;
  /** Time from which on keys must be remembered. */
  readonly windowStart: number;
  /** Another agent may have kept the key within the memory of keys. */
  readonly changedWithinWindow: boolean;
}
