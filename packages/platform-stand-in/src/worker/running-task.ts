import type { StartCommand } from '@basilcourse/scheduler/platform/start-command';

/** One attempt that runs on a worker stand-in. */
export interface RunningTask {
  readonly command: StartCommand;
  readonly startedAt: number;
  readonly leaseUntil: number;
  /** Completed work, in seconds of a run without interference. */
  readonly doneSeconds: number;
  /** Completed work that the most recent checkpoint covers. */
  readonly checkpointSeconds: number;
  readonly throttle: number;
  /** Time at which the grace period ends; 0 while no stop is requested. */
  readonly stopAt: number;
}
