import type { StartCommand } from '@basilcourse/scheduler/platform/start-command';

/** Actual behaviour of tasks, which the scheduler can only estimate. */
export interface TaskBehaviour {
  /** Slowdown of a task for each neighbour of the given kind. */
  readonly interference: (taskKind: string, neighbour: string) => number;
  /** Actual run time of a job without interference, in seconds. */
  readonly actualSeconds: (command: StartCommand) => number;
  /** Share of the declared resources that a task of the kind uses. */
  readonly usedShare: (taskKind: string) => number;
  /** Why a job fails at its start on any worker; empty if it does not fail. */
  readonly failureReason: (command: StartCommand) => string;
}
