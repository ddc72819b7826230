/** What the platform says of how long minions act on calls. */
export interface MinionLimits {
  /** A minion shortens a longer lease to this. */
  readonly longestLeaseMilliseconds: number;
  /** A call that gets no answer may be carried out this much later. */
  readonly longestCallDelayMilliseconds: number;
}
