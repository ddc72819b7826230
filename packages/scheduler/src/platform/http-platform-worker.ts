import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import { callJson } from '@basilcourse/foundation/http/call-json';
import { TypeCompiler } from '@sinclair/typebox/compiler';

import type { PlatformWorker } from './platform-worker.js';
import type { StartCommand } from './start-command.js';
import type { StopCommand } from './stop-command.js';
import type { SyncCommand } from './sync-command.js';
import type { WorkerReport } from './worker-report.js';
import { WorkerReportSchema } from './worker-report.js';

const CALL_TIMEOUT_MILLISECONDS = 1000;

const reportCheck = TypeCompiler.Compile(WorkerReportSchema);

/** Client of a worker of the platform over HTTP with JSON bodies. */
export class HttpPlatformWorker implements PlatformWorker {
  public constructor(private readonly address: string) {}

  public readonly sync = async (
    command: SyncCommand,
  ): Promise<WorkerReport> => {
    const report = await this.call('worker.sync', '/sync', command);
    if (!reportCheck.Check(report)) {
      const first = reportCheck.Errors(report).First();
      const reason = `malformed report at ${first?.path ?? 'its root'}`;
      throw new PeerUnreachableError('worker.sync', this.address, reason);
    }
    return report;
  };

  public readonly start = async (command: StartCommand): Promise<void> => {
    await this.call('worker.start', '/start', command);
  };

  public readonly stop = async (command: StopCommand): Promise<void> => {
    await this.call('worker.stop', '/stop', command);
  };

  public readonly throttle = async (
    attempt: string,
    share: number,
  ): Promise<void> => {
    await this.call('worker.throttle', '/throttle', { attempt, share });
  };

  private call(step: string, path: string, body: unknown): Promise<unknown> {
    return callJson({
      step,
      address: this.address,
      method: 'POST',
      path,
      body,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    });
  }
}
