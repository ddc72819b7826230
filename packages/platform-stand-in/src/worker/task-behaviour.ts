import type { StartCommand } from '@basilcourse/scheduler/platform/start-command';

/** Actual behaviour of tasks, which the scheduler can only estimate. */
export interface TaskBehaviour {
  /** Slowdown that one neighbour adds to a task; 0.1 stands for 10 %. */
  readonly interference: (taskKind: string, neighbour: string) => number;
  /** Actual run time of a job without interference, in seconds. */
  readonly actualSeconds: (command: StartCommand) => number;
  /** Share of the declared resources that a task of the kind uses. */
  readonly usedShare: (taskKind: string) => number;
  /** Why a task fails when it starts, on any worker; empty if it does not. */
  readonly failureReason: (command: StartCommand) => string;
}
