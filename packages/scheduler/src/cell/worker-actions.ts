import type { Decision } from '@basilcourse/shared-state/records/decision';

import type { StartCommand } from '../platform/start-command.js';
import type { StopCommand } from '../platform/stop-command.js';

/** Actions that bring a worker in line with the state in the log. */
export interface WorkerActions {
  readonly starts: readonly StartCommand[];
  readonly stops: readonly StopCommand[];
  readonly decisions: readonly Decision[];
  /** Ended attempts that the worker may drop from its reports. */
  readonly acknowledged: readonly string[];
}
