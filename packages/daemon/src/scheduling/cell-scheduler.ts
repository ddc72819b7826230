import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';
import type { IdentifierSource } from '@basilcourse/foundation/identifiers/identifier-source';
import { runTaskPerPeer } from '@basilcourse/request-plane/membership/run-task-per-peer';
import { GrantedLeases } from '@basilcourse/scheduler/cell/granted-leases';
import { newWorkerView } from '@basilcourse/scheduler/cell/new-worker-view';
import type { WorkerView } from '@basilcourse/scheduler/cell/worker-view';
import { WorkloadEstimator } from '@basilcourse/scheduler/learning/workload-estimator';
import type { ScorerName } from '@basilcourse/scheduler/placement/scorers';
import { planCell } from '@basilcourse/scheduler/plan/plan-cell';
import type { PlatformWorker } from '@basilcourse/scheduler/platform/platform-worker';
import type { RecordAppender } from '@basilcourse/shared-state/follow/record-appender';
import type { SharedState } from '@basilcourse/shared-state/follow/shared-state';
import type { Decision } from '@basilcourse/shared-state/records/decision';
import type { WorkerDescription } from '@basilcourse/shared-state/records/worker-description';
import * as Effect from 'effect/Effect';

import { decisionKey } from './decision-key.js';
import type { LeaseManager } from './lease-manager.js';
import { WorkerTask } from './worker-task.js';

/** Delay between two planning passes. */
const PLAN_INTERVAL_MILLISECONDS = 150;

/** Time limit for a batch of decisions to be read back from the log. */
const APPEND_TIMEOUT_MILLISECONDS = 2000;

/** Dependencies of `CellScheduler`. */
interface CellSchedulerDependencies {
  readonly cell: string;
  readonly lease: LeaseManager;
  readonly state: SharedState;
  readonly appender: RecordAppender;
  readonly clock: Clock;
  readonly identifiers: IdentifierSource;
  readonly events: EventRecorder;
  readonly announced: () => readonly WorkerDescription[];
  readonly workerAt: (address: string) => PlatformWorker;
  readonly storeReachable: () => boolean;
  readonly placement: ScorerName;
  /** Whether tasks that interfere with services on their VM start throttled. */
  readonly throttlesAtStart: boolean;
}

/** Schedules the tasks of one cell while this process holds its lease. */
export class CellScheduler {
  public readonly estimator = new WorkloadEstimator();

  private readonly grantedLeases = new GrantedLeases();

  private readonly views = new Map<string, WorkerView>();

  private readonly tasks = new Map<string, WorkerTask>();

  /** Decisions that follow from worker reports, not yet appended, by key. */
  private readonly pendingDecisions = new Map<string, Decision>();

  private inheritedEpoch = 0;

  /** Latest epoch that this process held; `grantedLeases` has all its grants. */
  private lastHeldEpoch = 0;

  public constructor(private readonly dependencies: CellSchedulerDependencies) {
    dependencies.state.onOutcome(({ decisions }) => {
      for (const decision of decisions) {
        this.wake(decision);
      }
    });
  }

  /** Runs a task per worker of the cell, and the planning passes. */
  public run(): Effect.Effect<never> {
    const workerTasks = runTaskPerPeer(
      () => this.ownWorkers(),
      worker => this.taskFor(worker).run(),
    );
    const planning = Effect.suspend(() => this.planOnce()).pipe(
      Effect.zipRight(Effect.sleep(PLAN_INTERVAL_MILLISECONDS)),
      Effect.forever,
    );
    return Effect.raceFirst(workerTasks, planning);
  }

  /** Views of the workers of the cell, by worker. */
  public get workerViews(): ReadonlyMap<string, WorkerView> {
    return this.views;
  }

  private ownWorkers(): readonly string[] {
    const { state, cell, lease } = this.dependencies;
    if (!lease.isLatestHolder()) {
      this.inheritedEpoch = 0;
      return [];
    }
    this.inheritLeases();
    return [...state.fold.scheduling.workers.values()]
      .filter(worker => worker.cell === cell)
      .map(worker => worker.description.worker);
  }

  /** Bounds the leases that former holders may have granted, once per epoch. */
  private inheritLeases(): void {
    const { lease, state } = this.dependencies;
    const { epoch, cleanHandover } = lease.cell;
    if (epoch === this.inheritedEpoch) {
      return;
    }
    this.inheritedEpoch = epoch;
    this.views.clear();
    this.pendingDecisions.clear();
    const { taskLeaseSeconds, storeOutageSeconds } =
      state.fold.configuration.limits;
    const heldPreviousEpoch = epoch === this.lastHeldEpoch + 1;
    this.lastHeldEpoch = epoch;
    if (heldPreviousEpoch) {
      return;
    }
    const outageSeconds = cleanHandover ? 0 : storeOutageSeconds;
    const seconds = outageSeconds + taskLeaseSeconds;
    this.grantedLeases.inherit(lease.observedAt + seconds * 1000);
  }

  private taskFor(worker: string): WorkerTask {
    const existing = this.tasks.get(worker);
    if (existing !== undefined) {
      return existing;
    }
    const { state, clock, events, workerAt, lease } = this.dependencies;
    const task = new WorkerTask({
      worker,
      state,
      clock,
      events,
      workerAt,
      grantedLeases: this.grantedLeases,
      estimator: this.estimator,
      throttlesAtStart: this.dependencies.throttlesAtStart,
      mayDecide: now => lease.holds(now),
      mayRenew: now => this.mayRenew(now),
      view: () => this.views.get(worker) ?? newWorkerView(worker),
      setView: view => {
        this.views.set(worker, view);
      },
      propose: decision => {
        this.pendingDecisions.set(decisionKey(decision), decision);
      },
    });
    this.tasks.set(worker, task);
    return task;
  }

  /**
   * While the log is unreachable, a holder continues to renew leases for a
   * bounded time. A later holder waits for that time if it cannot reach the
   * worker.
   */
  private mayRenew(now: number): boolean {
    const { lease, state, storeReachable } = this.dependencies;
    if (lease.holds(now)) {
      return true;
    }
    const outageMilliseconds =
      state.fold.configuration.limits.storeOutageSeconds * 1000;
    const isRecent = now < lease.lastConfirmedAt + outageMilliseconds;
    return lease.isLatestHolder() && !storeReachable() && isRecent;
  }

  private planOnce(): Effect.Effect<void> {
    const { clock, lease, state, cell, announced, placement } =
      this.dependencies;
    const now = clock.now();
    if (!lease.holds(now) || state.lag > 0) {
      return Effect.void;
    }
    const planned = planCell(
      {
        cell,
        configuration: state.fold.configuration,
        scheduling: state.fold.scheduling,
        views: this.views,
        leases: this.grantedLeases,
        estimator: this.estimator,
        announced: announced(),
        scorer: placement,
      },
      now,
    );
    const decisions = [...this.pendingDecisions.values(), ...planned];
    return decisions.length === 0 ? Effect.void : this.append(decisions, now);
  }

  private append(
    decisions: readonly Decision[],
    now: number,
  ): Effect.Effect<void> {
    const { appender, identifiers, cell, lease } = this.dependencies;
    const id = identifiers.next('decisions');
    const body = { cell, epoch: lease.cell.epoch, decisions };
    const deadline = now + APPEND_TIMEOUT_MILLISECONDS;
    return appender.append(id, 'decisions', body, deadline).pipe(
      Effect.map(result => {
        if (result.kind === 'applied') {
          for (const decision of decisions) {
            this.pendingDecisions.delete(decisionKey(decision));
          }
        }
      }),
    );
  }

  private wake(decision: Decision): void {
    const { scheduling } = this.dependencies.state.fold;
    if (decision.type === 'place') {
      this.tasks.get(decision.worker)?.wake();
    }
    if (decision.type === 'evict') {
      const worker = scheduling.attempts.get(decision.attemptId)?.worker ?? '';
      this.tasks.get(worker)?.wake();
    }
  }
}
