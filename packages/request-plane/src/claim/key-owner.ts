/** The agent that owns a key, that is, decides which request holds it. */
export interface KeyOwner {
  readonly address: string;
  /** Attempt of the minion beside the agent. */
  readonly attempt: string;
  /** Offset of the record that made the agent the owner. */
  readonly sinceOffset: number;
  /** Time from which on keys must be remembered. */
  readonly windowStart: number;
  /** Whether another agent may have owned the key since `windowStart`. */
  readonly changedWithinWindow: boolean;
}
