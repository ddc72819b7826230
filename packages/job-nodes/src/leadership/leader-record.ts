/** Record of who leads; the newest one counts. */
export interface LeaderRecord {
  /** Rises with each change of the leader. */
  readonly epoch: number;
  readonly name: string;
  /** Drawn at each start of a process. */
  readonly life: string;
  /** Address for other processes of the system. */
  readonly address: string;
  /** The leader has given up its office. */
  readonly resigned: boolean;
}
