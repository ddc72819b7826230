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

/** Pause between two synchronisations with a worker. */
const SYNC_MILLISECONDS = 1000;

/** Pause after a failed one. */
const RETRY_MILLISECONDS = 300;

/** Parts that the task of one worker works on. */
interface WorkerTaskParts {
  readonly worker: string;
  readonly state: SharedState;
  readonly clock: Clock;
  readonly events: EventRecorder;
  readonly workerAt: (address: string) => PlatformWorker;
  readonly ledger: GrantedLeases;
  readonly learner: WorkloadEstimator;
  /** Starts tasks throttled that harm services beside them. */
  readonly startsThrottled: boolean;
  readonly mayDecide: (now: number) => boolean;
  readonly mayRenew: (now: number) => boolean;
  readonly view: () => WorkerView;
  readonly setView: (view: WorkerView) => void;
  readonly propose: (decision: Decision) => void;
}

/** Keeps one worker in line with the log. */
export class WorkerTask {
  private readonly wakeup = new Wakeup();

  private acknowledged: readonly string[] = [];

  private readonly confirmed = new Set<string>();

  public constructor(private readonly parts: WorkerTaskParts) {}

  /** Makes the next synchronisation happen at once. */
  public wake(): void {
    this.wakeup.wake();
  }

  /** Synchronises with the worker for as long as the process holds its cell. */
  public run(): Effect.Effect<never> {
    return Effect.gen(this, function* () {
      for (;;) {
        const answered = yield* this.synchronise();
        const pause = answered ? SYNC_MILLISECONDS : RETRY_MILLISECONDS;
        yield* this.wakeup.wait(pause);
      }
    });
  }

  private synchronise(): Effect.Effect<boolean> {
    return Effect.suspend(() => {
      const { clock, state, worker, workerAt } = this.parts;
      const description =
        state.fold.scheduling.workers.get(worker)?.description;
      if (description === undefined) {
        return Effect.succeed(false);
      }
      const platformWorker = workerAt(description.address);
      const renewals = this.renewals(clock.now());
      const { acknowledged } = this;
      return this.attempt('worker.sync', () =>
        platformWorker.sync({ renewals, acknowledged }),
      ).pipe(
        Effect.flatMap(report => this.reconcile(platformWorker, report)),
        Effect.as(true),
        Effect.catchAll(() =>
          Effect.sync(() => {
            const now = clock.now();
            this.parts.setView(viewAfterFailure(this.parts.view(), now));
            return false;
          }),
        ),
      );
    });
  }

  private renewals(
    now: number,
  ): { readonly attempt: string; readonly until: number }[] {
    const { state, ledger, mayRenew, worker } = this.parts;
    // A silent worker is probed without renewals, so that the leases there
    // lapse at a known time.
    if (!mayRenew(now) || this.parts.view().failingSince > 0) {
      return [];
    }
    const { taskLeaseSeconds } = state.fold.configuration.limits;
    const until = now + taskLeaseSeconds * 1000;
    const { tasks } = this.parts.view();
    // An attempt that the worker does not know must be able to lapse.
    const running = state.fold.scheduling
      .attemptsOn(worker)
      .filter(({ id }) => tasks.get(id)?.state === 'running');
    return running.map(({ id }) => {
      ledger.grant(id, until);
      return { attempt: id, until };
    });
  }

  private reconcile(
    platformWorker: PlatformWorker,
    report: WorkerReport,
  ): Effect.Effect<void> {
    const { clock, state, ledger, learner, worker } = this.parts;
    const now = clock.now();
    const view = viewAfterReport(this.parts.view(), report, now);
    this.parts.setView(view);
    this.learn(report, now);
    if (!this.parts.mayDecide(now) || state.lag > 0) {
      return Effect.void;
    }
    const actions = reconcileWorker(
      {
        worker,
        configuration: state.fold.configuration,
        scheduling: state.fold.scheduling,
        view,
        leases: ledger,
        confirmed: this.confirmed,
      },
      now,
    );
    this.acknowledged = actions.acknowledged;
    for (const decision of actions.decisions) {
      this.parts.propose(decision);
    }
    learner.recordSamples(worker, report.usage);
    const commands = [
      ...actions.starts.map(start => this.start(platformWorker, start)),
      ...actions.stops.map(stop => this.stop(platformWorker, stop)),
    ];
    return Effect.all(commands, { discard: true });
  }

  private learn(report: WorkerReport, now: number): void {
    const { learner, worker } = this.parts;
    const running = report.tasks.filter(({ state }) => state === 'running');
    for (const { attempt } of running) {
      this.confirmed.add(attempt);
    }
    const present = new Set(report.tasks.map(({ attempt }) => attempt));
    for (const attempt of this.confirmed) {
      const known = this.parts.state.fold.scheduling.attempts.has(attempt);
      if (!known && !present.has(attempt)) {
        this.confirmed.delete(attempt);
      }
    }
    const neighbours = neighboursOf(this.parts.state.fold, running);
    learner.recordRunning(worker, neighbours, now);
  }

  private start(
    platformWorker: PlatformWorker,
    command: StartCommand,
  ): Effect.Effect<void> {
    const { ledger, events, worker } = this.parts;
    return Effect.suspend(() => {
      ledger.grant(command.attempt, command.leaseUntil);
      const subject = { job: command.task, worker };
      return this.attempt('worker.start', () =>
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
            const text = `Start of ${command.attempt} unanswered: ${message}`;
            events.record('attempt-started', text, subject);
          }),
        ),
      );
    });
  }

  /** A task that harms a service beside it starts with a smaller share. */
  private throttleAtStart(
    platformWorker: PlatformWorker,
    { attempt, taskKind, role }: StartCommand,
  ): Effect.Effect<void, PeerUnreachableError> {
    const { state, worker, learner } = this.parts;
    const share = startShare(state.fold, learner, worker, attempt, taskKind);
    const isFree = role === 'service' || !this.parts.startsThrottled;
    return isFree || share === 1
      ? Effect.void
      : this.attempt('worker.throttle', () =>
          platformWorker.throttle(attempt, share),
        );
  }

  private stop(
    platformWorker: PlatformWorker,
    command: StopCommand,
  ): Effect.Effect<void> {
    return this.attempt('worker.stop', () => platformWorker.stop(command)).pipe(
      Effect.tap(() =>
        Effect.sync(() => {
          this.wake();
        }),
      ),
      Effect.ignore,
    );
  }

  private attempt<Answer>(
    step: string,
    call: () => Promise<Answer>,
  ): Effect.Effect<Answer, PeerUnreachableError> {
    return Effect.tryPromise({
      try: call,
      catch: error => new PeerUnreachableError(step, this.parts.worker, error),
    });
  }
}
