/** Record of who leads; the newest one counts. */
export interface LeaderRecord {
  /** Offset that follows the claim; no two claims share one, and it rises. */
  readonly epoch: number;
  readonly name: string;
  /** Drawn at each start of a process. */
  readonly life: string;
  /** Address for other processes of the system. */
  readonly address: string;
  /** The leader has given up its office. */
  readonly resigned: boolean;
}
