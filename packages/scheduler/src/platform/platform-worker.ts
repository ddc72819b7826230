import type { StartCommand } from './start-command.js';
import type { StopCommand } from './stop-command.js';
import type { SyncCommand } from './sync-command.js';
import type { WorkerReport } from './worker-report.js';

/**
 * Client of one worker of the platform.
 *
 * Each call rejects with PeerUnreachableError if no valid answer arrived, in
 * which case it may still have taken effect, and with PeerRefusedError if the
 * worker refused it.
 */
export interface PlatformWorker {
  readonly sync: (command: SyncCommand) => Promise<WorkerReport>;
  readonly start: (command: StartCommand) => Promise<void>;
  readonly stop: (command: StopCommand) => Promise<void>;
  readonly throttle: (attempt: string, share: number) => Promise<void>;
}
