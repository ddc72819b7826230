import { PeerRefusedError } from '@basilcourse/foundation/errors/peer-refused-error';
import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { PlatformWorker } from '@basilcourse/scheduler/platform/platform-worker';
import type { StartCommand } from '@basilcourse/scheduler/platform/start-command';
import type { StopCommand } from '@basilcourse/scheduler/platform/stop-command';
import type { SyncCommand } from '@basilcourse/scheduler/platform/sync-command';
import type { WorkerReport } from '@basilcourse/scheduler/platform/worker-report';

import { TaskRunner } from './task-runner.js';
import type { TaskRunnerOptions } from './task-runner-options.js';
import type { WorkerFaults } from './worker-faults.js';
import { HEALTHY_WORKER } from './worker-faults.js';

const HTTP_CONFLICT = 409;

const HTTP_NOT_FOUND = 404;

/**
 * A stand-in for one worker of the platform.
 *
 * It starts every task that it is sent, even beyond its capacity, so that the
 * recorder can detect overcommitment. Before each command, it advances its
 * tasks to the current time.
 */
export class WorkerStandIn implements PlatformWorker {
  public readonly runner: TaskRunner;

  private faults: WorkerFaults = HEALTHY_WORKER;

  public constructor(private readonly options: TaskRunnerOptions) {
    this.runner = new TaskRunner(options);
  }

  public get name(): string {
    return this.options.description.worker;
  }

  public setFaults(faults: Partial<WorkerFaults>): void {
    this.faults = { ...this.faults, ...faults };
  }

  public readonly sync = (command: SyncCommand): Promise<WorkerReport> =>
    this.handleCommand('worker.sync', now => {
      for (const renewal of command.renewals) {
        this.runner.renew(renewal);
      }
      for (const attempt of command.acknowledged) {
        this.runner.discardReport(attempt);
      }
      return this.runner.report(now - this.faults.reportLagMilliseconds);
    });

  public readonly start = (command: StartCommand): Promise<void> =>
    this.handleCommand('worker.start', now => {
      if (command.leaseUntil <= now) {
        const reason = 'the lease has lapsed';
        throw this.createRefusal('worker.start', HTTP_CONFLICT, reason);
      }
      if (!this.runner.hasAttempt(command.attempt)) {
        const failureReason = this.faults.failEveryStart
          ? 'the worker is broken'
          : '';
        this.runner.start(command, now, failureReason);
      }
    });

  public readonly stop = (command: StopCommand): Promise<void> =>
    this.handleCommand('worker.stop', now => {
      if (!this.runner.isRunning(command.attempt)) {
        throw this.createRefusal(
          'worker.stop',
          HTTP_NOT_FOUND,
          'unknown attempt',
        );
      }
      this.runner.stop(command, now);
      this.runner.advance(now);
    });

  public readonly throttle = (attempt: string, share: number): Promise<void> =>
    this.handleCommand('worker.throttle', () => {
      this.runner.throttle(attempt, share);
    });

  private async handleCommand<Result>(
    step: string,
    operation: (now: number) => Result,
  ): Promise<Result> {
    await Promise.resolve();
    if (this.faults.unreachable) {
      throw new PeerUnreachableError(step, this.name, 'no answer');
    }
    const now = this.options.clock.now();
    this.runner.advance(now);
    const result = operation(now);
    if (this.options.random.next() < this.faults.lostAnswerShare) {
      throw new PeerUnreachableError(step, this.name, 'answer lost');
    }
    return result;
  }

  private createRefusal(
    step: string,
    status: number,
    reason: string,
  ): PeerRefusedError {
    return new PeerRefusedError(step, this.name, status, reason);
  }
}
