/** What a poll of an incarnation has shown. */
export interface PolledLists {
  readonly incarnation: string;
  readonly fencingToken: number;
  /** Monotonic milliseconds at which the poll was sent. */
  readonly requestedAt: number;
  /** `task/run` of each running task and each ended run. */
  readonly listed: ReadonlySet<string>;
  /** Whether the lists have all ends. */
  readonly complete: boolean;
}
