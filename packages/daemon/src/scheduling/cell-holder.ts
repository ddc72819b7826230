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
import type { LeaseKeeper } from './lease-keeper.js';
import { WorkerTask } from './worker-task.js';

/** Pause between two passes of decisions. */
const PLAN_MILLISECONDS = 150;

/** Wait for a batch of decisions to be read back. */
const APPEND_PATIENCE_MILLISECONDS = 2000;

/** Parts that holding a cell works on. */
interface HolderParts {
  readonly cell: string;
  readonly lease: LeaseKeeper;
  readonly state: SharedState;
  readonly appender: RecordAppender;
  readonly clock: Clock;
  readonly identifiers: IdentifierSource;
  readonly events: EventRecorder;
  readonly announced: () => readonly WorkerDescription[];
  readonly workerAt: (address: string) => PlatformWorker;
  readonly storeReachable: () => boolean;
  readonly placement: ScorerName;
  /** Starts tasks throttled that harm services beside them. */
  readonly throttlesStarts: boolean;
}

/** Decides for one cell while this process holds its lease. */
export class CellHolder {
  public readonly learner = new WorkloadEstimator();

  private readonly ledger = new GrantedLeases();

  private readonly views = new Map<string, WorkerView>();

  private readonly tasks = new Map<string, WorkerTask>();

  /** Ends reported by workers that have not been appended yet. */
  private readonly outbox = new Map<string, Decision>();

  private ledgerEpoch = 0;

  /** Latest epoch that this process held; its grants are all known. */
  private lastOwnEpoch = 0;

  public constructor(private readonly parts: HolderParts) {
    parts.state.onOutcome(({ decisions }) => {
      for (const decision of decisions) {
        this.wake(decision);
      }
    });
  }

  /** Runs the workers' tasks and the passes of decisions. */
  public run(): Effect.Effect<never> {
    const workers = runTaskPerPeer(
      () => this.ownWorkers(),
      worker => this.taskOf(worker).run(),
    );
    const passes = Effect.suspend(() => this.pass()).pipe(
      Effect.zipRight(Effect.sleep(PLAN_MILLISECONDS)),
      Effect.forever,
    );
    return Effect.raceFirst(workers, passes);
  }

  /** Views of the workers, for the operators' status. */
  public get workerViews(): ReadonlyMap<string, WorkerView> {
    return this.views;
  }

  private ownWorkers(): readonly string[] {
    const { state, cell, lease } = this.parts;
    if (!lease.isLatestHolder()) {
      this.ledgerEpoch = 0;
      return [];
    }
    this.inheritLeases();
    return [...state.fold.scheduling.workers.values()]
      .filter(worker => worker.cell === cell)
      .map(worker => worker.description.worker);
  }

  /** Bounds what the former holder may have granted, once for each epoch. */
  private inheritLeases(): void {
    const { lease, state } = this.parts;
    const { epoch, cleanHandover } = lease.cell;
    if (epoch === this.ledgerEpoch) {
      return;
    }
    this.ledgerEpoch = epoch;
    this.views.clear();
    this.outbox.clear();
    const { taskLeaseSeconds, storeOutageSeconds } =
      state.fold.configuration.limits;
    const isOwn = epoch === this.lastOwnEpoch + 1;
    this.lastOwnEpoch = epoch;
    if (isOwn) {
      return;
    }
    const outage = cleanHandover ? 0 : storeOutageSeconds;
    const seconds = outage + taskLeaseSeconds;
    this.ledger.inherit(lease.observedAt + seconds * 1000);
  }

  private taskOf(worker: string): WorkerTask {
    const known = this.tasks.get(worker);
    if (known !== undefined) {
      return known;
    }
    const { state, clock, events, workerAt, lease } = this.parts;
    const task = new WorkerTask({
      worker,
      state,
      clock,
      events,
      workerAt,
      ledger: this.ledger,
      learner: this.learner,
      startsThrottled: this.parts.throttlesStarts,
      mayDecide: now => lease.holds(now),
      mayRenew: now => this.mayRenew(now),
      view: () => this.views.get(worker) ?? newWorkerView(worker),
      setView: view => {
        this.views.set(worker, view);
      },
      propose: decision => {
        this.outbox.set(decisionKey(decision), decision);
      },
    });
    this.tasks.set(worker, task);
    return task;
  }

  /**
   * Without the log a holder goes on renewing leases for a bounded time; a
   * later holder waits for that bound where it cannot ask the worker.
   */
  private mayRenew(now: number): boolean {
    const { lease, state, storeReachable } = this.parts;
    if (lease.holds(now)) {
      return true;
    }
    const outage = state.fold.configuration.limits.storeOutageSeconds * 1000;
    const isRecent = now < lease.lastConfirmedAt + outage;
    return lease.isLatestHolder() && !storeReachable() && isRecent;
  }

  private pass(): Effect.Effect<void> {
    const { clock, lease, state, cell, announced, placement } = this.parts;
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
        leases: this.ledger,
        estimator: this.learner,
        announced: announced(),
        scorer: placement,
      },
      now,
    );
    const decisions = [...this.outbox.values(), ...planned];
    return decisions.length === 0 ? Effect.void : this.append(decisions, now);
  }

  private append(
    decisions: readonly Decision[],
    now: number,
  ): Effect.Effect<void> {
    const { appender, identifiers, cell, lease } = this.parts;
    const id = identifiers.next('decisions');
    const body = { cell, epoch: lease.cell.epoch, decisions };
    const deadline = now + APPEND_PATIENCE_MILLISECONDS;
    return appender.append(id, 'decisions', body, deadline).pipe(
      Effect.map(verdict => {
        if (verdict.kind === 'applied') {
          for (const decision of decisions) {
            this.outbox.delete(decisionKey(decision));
          }
        }
      }),
    );
  }

  private wake(decision: Decision): void {
    const { scheduling } = this.parts.state.fold;
    if (decision.type === 'place') {
      this.tasks.get(decision.worker)?.wake();
    }
    if (decision.type === 'evict') {
      const worker = scheduling.attempts.get(decision.attemptId)?.worker ?? '';
      this.tasks.get(worker)?.wake();
    }
  }
}
