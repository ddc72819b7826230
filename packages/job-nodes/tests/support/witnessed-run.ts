/** A run on a fake minion. */
export interface WitnessedRun {
  readonly task: string;
  readonly run: number;
  readonly minion: string;
}
