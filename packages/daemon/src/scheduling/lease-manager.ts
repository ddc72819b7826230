import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';
import type { IdentifierSource } from '@basilcourse/foundation/identifiers/identifier-source';
import type { RecordAppender } from '@basilcourse/shared-state/follow/record-appender';
import type { SharedState } from '@basilcourse/shared-state/follow/shared-state';
import { decideLeaseAction } from '@basilcourse/shared-state/lease/decide-lease-action';
import { holdsLease } from '@basilcourse/shared-state/lease/holds-lease';
import type { LeaseObservation } from '@basilcourse/shared-state/lease/lease-observation';
import type { Cell } from '@basilcourse/shared-state/scheduling/cell';
import * as Effect from 'effect/Effect';

const STEP_INTERVAL_MILLISECONDS = 100;

/** Dependencies of `LeaseManager`. */
interface LeaseManagerDependencies {
  readonly cell: string;
  readonly instance: string;
  readonly state: SharedState;
  readonly appender: RecordAppender;
  readonly clock: Clock;
  readonly identifiers: IdentifierSource;
  readonly events: EventRecorder;
  /** Rank of this process among the candidates, from 0. */
  readonly rank: () => number;
}

/** Claims, renews and releases the lease of one cell. */
export class LeaseManager {
  private observation: LeaseObservation;

  /** Time at which the latest claim or renewal that was read back was sent. */
  private confirmedAt = 0;

  private lastSentAt = 0;

  private lastClaimAt = 0;

  public constructor(private readonly dependencies: LeaseManagerDependencies) {
    this.observation = {
      cell: this.readCell(),
      changedAt: dependencies.clock.now(),
    };
  }

  public get cell(): Cell {
    return this.readCell();
  }

  /** Time at which this process read the latest change of the lease. */
  public get observedAt(): number {
    return this.observation.changedAt;
  }

  /** Latest time at which this process was certainly the holder. */
  public get lastConfirmedAt(): number {
    return this.confirmedAt;
  }

  /** Returns whether this process may make decisions for the cell. */
  public holds(now: number): boolean {
    const { state, instance } = this.dependencies;
    const leaseMilliseconds =
      state.fold.configuration.limits.cellLeaseMilliseconds;
    this.observe(now);
    return holdsLease(
      this.observation,
      instance,
      this.confirmedAt,
      leaseMilliseconds,
      now,
    );
  }

  /** Returns whether this process is the latest holder in the log. */
  public isLatestHolder(): boolean {
    return this.readCell().holder === this.dependencies.instance;
  }

  /** Claims or renews the lease for as long as the process runs. */
  public run(): Effect.Effect<never> {
    const step = Effect.suspend(() => this.step());
    return step.pipe(
      Effect.zipRight(Effect.sleep(STEP_INTERVAL_MILLISECONDS)),
      Effect.forever,
    );
  }

  /** Releases the lease, so that another process can claim it at once. */
  public release(deadline: number): Effect.Effect<void> {
    const { instance, cell } = this.dependencies;
    const { holder, epoch } = this.readCell();
    return holder === instance
      ? this.append('lease-release', { cell, epoch }, deadline).pipe(
          Effect.asVoid,
        )
      : Effect.void;
  }

  private step(): Effect.Effect<void> {
    const { clock, state, instance, rank, cell: name } = this.dependencies;
    const now = clock.now();
    this.observe(now);
    const { cell } = this.observation;
    const leaseMilliseconds =
      state.fold.configuration.limits.cellLeaseMilliseconds;
    const action = decideLeaseAction(
      {
        observation: this.observation,
        instance,
        rank: rank(),
        leaseMilliseconds,
        lastSentAt: this.lastSentAt,
      },
      now,
    );
    const handlers = {
      wait: () => Effect.void,
      renew: () =>
        this.send(
          'lease-renewal',
          { cell: name, epoch: cell.epoch },
          leaseMilliseconds,
        ),
      claim: () => this.claim(cell, leaseMilliseconds, now),
    } as const;
    return handlers[action]();
  }

  private claim(
    cell: Cell,
    leaseMilliseconds: number,
    now: number,
  ): Effect.Effect<void> {
    if (now - this.lastClaimAt < leaseMilliseconds / 2) {
      return Effect.void;
    }
    this.lastClaimAt = now;
    const body = {
      cell: cell.name,
      holder: this.dependencies.instance,
      previousEpoch: cell.epoch,
      previousRenewals: cell.renewals,
    };
    return this.send('lease-claim', body, leaseMilliseconds).pipe(
      Effect.tap(() =>
        Effect.sync(() => {
          if (this.isLatestHolder()) {
            const text = `Holds the lease of ${cell.name}, epoch ${this.readCell().epoch}.`;
            this.dependencies.events.record('lease-claimed', text);
          }
        }),
      ),
    );
  }

  private send(
    kind: string,
    body: object,
    leaseMilliseconds: number,
  ): Effect.Effect<void> {
    const sentAt = this.dependencies.clock.now();
    this.lastSentAt = sentAt;
    return this.append(kind, body, sentAt + leaseMilliseconds).pipe(
      Effect.map(applied => {
        if (applied) {
          this.confirmedAt = Math.max(this.confirmedAt, sentAt);
        }
      }),
    );
  }

  private append(
    kind: string,
    body: object,
    deadline: number,
  ): Effect.Effect<boolean> {
    const { appender, identifiers } = this.dependencies;
    const id = identifiers.next(kind);
    return appender
      .append(id, kind, body, deadline)
      .pipe(
        Effect.map(
          result => result.kind === 'applied' && result.outcome.applied,
        ),
      );
  }

  private observe(now: number): void {
    const cell = this.readCell();
    const previous = this.observation.cell;
    const changed =
      cell.epoch !== previous.epoch ||
      cell.renewals !== previous.renewals ||
      cell.holder !== previous.holder;
    if (!changed) {
      return;
    }
    const { instance, events } = this.dependencies;
    if (previous.holder === instance && cell.holder !== instance) {
      const text = `The lease of ${cell.name} went to ${cell.holder || 'nobody'}.`;
      events.record('lease-lost', text);
    }
    this.observation = { cell, changedAt: now };
  }

  private readCell(): Cell {
    const unclaimed = {
      name: this.dependencies.cell,
      epoch: 0,
      holder: '',
      renewals: 0,
      cleanHandover: true,
    };
    const { cells } = this.dependencies.state.fold.scheduling;
    return cells.get(this.dependencies.cell) ?? unclaimed;
  }
}
