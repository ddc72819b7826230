import type { Clock } from '@basilcourse/foundation/clock/clock';
import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';
import type { GrantedLeases } from '@basilcourse/scheduler/cell/granted-leases';
import { reconcileWorker } from '@basilcourse/scheduler/cell/reconcile-worker';
import {
  viewAfterFailure,
  viewAfterReport,
} from '@basilcourse/scheduler/cell/update-view';
import type { WorkerView } from '@basilcourse/scheduler/cell/worker-view';
import type { WorkloadEstimator } from '@basilcourse/scheduler/learning/workload-estimator';
import type { PlatformWorker } from '@basilcourse/scheduler/platform/platform-worker';
import type { StartCommand } from '@basilcourse/scheduler/platform/start-command';
import type { StopCommand } from '@basilcourse/scheduler/platform/stop-command';
import type { WorkerReport } from '@basilcourse/scheduler/platform/worker-report';
import type { SharedState } from '@basilcourse/shared-state/follow/shared-state';
import type { Decision } from '@basilcourse/shared-state/records/decision';
import * as Effect from 'effect/Effect';

import { neighboursOf } from './neighbours-of.js';
import { startShare } from './start-share.js';
import { Wakeup } from './wakeup.js';

/** Delay between two synchronisations with a worker. */
const SYNC_INTERVAL_MILLISECONDS = 1000;

/** Delay after a failed synchronisation. */
const RETRY_DELAY_MILLISECONDS = 300;

/** Dependencies of `WorkerTask`. */
interface WorkerTaskDependencies {
  readonly worker: string;
  readonly state: SharedState;
  readonly clock: Clock;
  readonly events: EventRecorder;
  readonly workerAt: (address: string) => PlatformWorker;
  readonly grantedLeases: GrantedLeases;
  readonly estimator: WorkloadEstimator;
  /** Whether tasks that interfere with services on their VM start throttled. */
  readonly throttlesAtStart: boolean;
  readonly mayDecide: (now: number) => boolean;
  readonly mayRenew: (now: number) => boolean;
  readonly view: () => WorkerView;
  readonly setView: (view: WorkerView) => void;
  readonly propose: (decision: Decision) => void;
}

/** Reconciles one worker with the assignments in the log. */
export class WorkerTask {
  private readonly wakeup = new Wakeup();

  private acknowledged: readonly string[] = [];

  private readonly confirmedAttempts = new Set<string>();

  public constructor(private readonly dependencies: WorkerTaskDependencies) {}

  /** Starts the next synchronisation without delay. */
  public wake(): void {
    this.wakeup.wake();
  }

  /** Synchronises with the worker for as long as the process holds its cell. */
  public run(): Effect.Effect<never> {
    return Effect.gen(this, function* () {
      for (;;) {
        const succeeded = yield* this.synchronise();
        const delay = succeeded
          ? SYNC_INTERVAL_MILLISECONDS
          : RETRY_DELAY_MILLISECONDS;
        yield* this.wakeup.wait(delay);
      }
    });
  }

  private synchronise(): Effect.Effect<boolean> {
    return Effect.suspend(() => {
      const { clock, state, worker, workerAt } = this.dependencies;
      const description =
        state.fold.scheduling.workers.get(worker)?.description;
      if (description === undefined) {
        return Effect.succeed(false);
      }
      const platformWorker = workerAt(description.address);
      const renewals = this.renewals(clock.now());
      const { acknowledged } = this;
      return this.callWorker('worker.sync', () =>
        platformWorker.sync({ renewals, acknowledged }),
      ).pipe(
        Effect.flatMap(report => this.reconcile(platformWorker, report)),
        Effect.as(true),
        Effect.catchAll(() =>
          Effect.sync(() => {
            const now = clock.now();
            this.dependencies.setView(
              viewAfterFailure(this.dependencies.view(), now),
            );
            return false;
          }),
        ),
      );
    });
  }

  private renewals(
    now: number,
  ): { readonly attempt: string; readonly until: number }[] {
    const { state, grantedLeases, mayRenew, worker } = this.dependencies;
    // Polls of a worker that does not respond carry no renewals, so that its
    // leases expire at a fixed time.
    if (!mayRenew(now) || this.dependencies.view().failingSince > 0) {
      return [];
    }
    const { taskLeaseSeconds } = state.fold.configuration.limits;
    const until = now + taskLeaseSeconds * 1000;
    const { tasks } = this.dependencies.view();
    // An attempt that the worker does not report is not renewed, so that its
    // lease expires.
    const running = state.fold.scheduling
      .attemptsOn(worker)
      .filter(({ id }) => tasks.get(id)?.state === 'running');
    return running.map(({ id }) => {
      grantedLeases.grant(id, until);
      return { attempt: id, until };
    });
  }

  private reconcile(
    platformWorker: PlatformWorker,
    report: WorkerReport,
  ): Effect.Effect<void> {
    const { clock, state, grantedLeases, estimator, worker } =
      this.dependencies;
    const now = clock.now();
    const view = viewAfterReport(this.dependencies.view(), report, now);
    this.dependencies.setView(view);
    this.updateFromReport(report, now);
    if (!this.dependencies.mayDecide(now) || state.lag > 0) {
      return Effect.void;
    }
    const actions = reconcileWorker(
      {
        worker,
        configuration: state.fold.configuration,
        scheduling: state.fold.scheduling,
        view,
        leases: grantedLeases,
        confirmed: this.confirmedAttempts,
      },
      now,
    );
    this.acknowledged = actions.acknowledged;
    for (const decision of actions.decisions) {
      this.dependencies.propose(decision);
    }
    estimator.recordSamples(worker, report.usage);
    const commands = [
      ...actions.starts.map(start => this.start(platformWorker, start)),
      ...actions.stops.map(stop => this.stop(platformWorker, stop)),
    ];
    return Effect.all(commands, { discard: true });
  }

  private updateFromReport(report: WorkerReport, now: number): void {
    const { estimator, worker } = this.dependencies;
    const running = report.tasks.filter(({ state }) => state === 'running');
    for (const { attempt } of running) {
      this.confirmedAttempts.add(attempt);
    }
    const reported = new Set(report.tasks.map(({ attempt }) => attempt));
    for (const attempt of this.confirmedAttempts) {
      const isRecorded =
        this.dependencies.state.fold.scheduling.attempts.has(attempt);
      if (!isRecorded && !reported.has(attempt)) {
        this.confirmedAttempts.delete(attempt);
      }
    }
    const neighbours = neighboursOf(this.dependencies.state.fold, running);
    estimator.recordRunning(worker, neighbours, now);
  }

  private start(
    platformWorker: PlatformWorker,
    command: StartCommand,
  ): Effect.Effect<void> {
    const { grantedLeases, events, worker } = this.dependencies;
    return Effect.suspend(() => {
      grantedLeases.grant(command.attempt, command.leaseUntil);
      const subject = { job: command.task, worker };
      return this.callWorker('worker.start', () =>
        platformWorker.start(command),
      ).pipe(
        Effect.map(() => {
          const text = `${command.attempt} started on ${worker}.`;
          events.record('attempt-started', text, subject);
          this.wake();
        }),
        Effect.zipRight(this.throttleAtStart(platformWorker, command)),
        Effect.catchAll(({ message }) =>
          Effect.sync(() => {
            const text = `No answer to the start of ${command.attempt}: ${message}`;
            events.record('attempt-started', text, subject);
          }),
        ),
      );
    });
  }

  /** Throttles a starting task that interferes with a service on the VM. */
  private throttleAtStart(
    platformWorker: PlatformWorker,
    { attempt, taskKind, role }: StartCommand,
  ): Effect.Effect<void, PeerUnreachableError> {
    const { state, worker, estimator } = this.dependencies;
    const share = startShare(state.fold, estimator, worker, attempt, taskKind);
    const isExempt = role === 'service' || !this.dependencies.throttlesAtStart;
    return isExempt || share === 1
      ? Effect.void
      : this.callWorker('worker.throttle', () =>
          platformWorker.throttle(attempt, share),
        );
  }

  private stop(
    platformWorker: PlatformWorker,
    command: StopCommand,
  ): Effect.Effect<void> {
    return this.callWorker('worker.stop', () =>
      platformWorker.stop(command),
    ).pipe(
      Effect.tap(() =>
        Effect.sync(() => {
          this.wake();
        }),
      ),
      Effect.ignore,
    );
  }

  private callWorker<Answer>(
    step: string,
    call: () => Promise<Answer>,
  ): Effect.Effect<Answer, PeerUnreachableError> {
    return Effect.tryPromise({
      try: call,
      catch: error =>
        new PeerUnreachableError(step, this.dependencies.worker, error),
    });
  }
}
