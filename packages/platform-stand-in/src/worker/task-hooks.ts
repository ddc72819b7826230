import type { StartCommand } from '@basilcourse/scheduler/platform/start-command';

/** Callbacks for the start and stop of attempts, used to run real upstreams. */
export interface TaskHooks {
  readonly onStarted: (command: StartCommand) => void;
  /** Called when a graceful stop is requested. */
  readonly onStopping: (attempt: string) => void;
  readonly onStopped: (attempt: string) => void;
}
