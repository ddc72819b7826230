/** A run on a fake minion. */
export interface FakeRun {
  readonly task: string;
  readonly run: number;
  /** Monotonic milliseconds at which it began. */
  readonly startedAt: number;
  /** Monotonic milliseconds at which its work is done. */
  readonly endsAt: number;
}
