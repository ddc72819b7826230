/** Record of the current leader; the newest one counts. */
export interface LeaderRecord {
  /** Offset that follows the claim; it is unique to the claim and increases. */
  readonly epoch: number;
  readonly name: string;
  /** Random identifier of the process incarnation. */
  readonly life: string;
  /** Address at which other processes of the system reach the leader. */
  readonly address: string;
  /** The leader has resigned. */
  readonly resigned: boolean;
}
