/** Something that happened to a run on a minion. */
export interface MinionEvent {
  readonly kind: 'started' | 'ended' | 'acknowledged' | 'lost';
  readonly minion: string;
  readonly task: string;
  readonly run: number;
  /** How the run ended; empty for a start. */
  readonly reason: string;
}
