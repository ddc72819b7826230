/** Record of a leader in the leadership log; the newest one is in force. */
export interface LeaderRecord {
  /** Offset that follows the claim; higher than that of any earlier one. */
  readonly epoch: number;
  readonly name: string;
  /** Random identifier of the process's incarnation. */
  readonly life: string;
  /** Address at which other processes of the system reach the leader. */
  readonly address: string;
  /** The leader has resigned. */
  readonly resigned: boolean;
}
