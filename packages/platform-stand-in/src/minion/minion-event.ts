/** Something that happened to a run on a minion. */
export interface MinionEvent {
  /** `forgotten` is an acknowledgement after the lease was over: it counts for nothing. */
  readonly kind: 'started' | 'ended' | 'acknowledged' | 'forgotten' | 'lost';
  readonly minion: string;
  readonly task: string;
  readonly run: number;
  /** How the run ended; empty for a start. */
  readonly reason: string;
}
