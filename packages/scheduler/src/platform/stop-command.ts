/** Asks a worker to stop an attempt. */
export interface StopCommand {
  readonly attempt: string;
  /** Whether to take a checkpoint first if the task supports it. */
  readonly checkpoint: boolean;
  /** Time for a graceful shutdown. */
  readonly graceMilliseconds: number;
}
