/** A run on a fake minion. */
export interface ObservedRun {
  readonly task: string;
  readonly run: number;
  readonly minion: string;
}
