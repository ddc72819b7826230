import { rendezvousRank } from '@basilcourse/foundation/util/rendezvous-rank';
import { runTaskPerPeer } from '@basilcourse/request-plane/membership/run-task-per-peer';
import type { WorkerView } from '@basilcourse/scheduler/cell/worker-view';
import {
  cellNames,
  SNAPSHOT_CELL,
} from '@basilcourse/shared-state/scheduling/cell-names';
import { SnapshotCollector } from '@basilcourse/shared-state/snapshot/snapshot-collector';
import * as Effect from 'effect/Effect';

import type { NodeCore } from '../node/node-core.js';
import { announcedWorkers } from './announced-workers.js';
import { CellScheduler } from './cell-scheduler.js';
import { DepartedEntryRemover } from './departed-entry-remover.js';
import { LeaseManager } from './lease-manager.js';
import { SnapshotWriter } from './snapshot-writer.js';

/** Claims the leases of the cells of the region and schedules held cells. */
export class CellManager {
  private readonly leases = new Map<string, LeaseManager>();

  private readonly schedulers = new Map<string, CellScheduler>();

  private readonly collector = new SnapshotCollector();

  public constructor(private readonly core: NodeCore) {
    core.state.onOutcome(({ record }) => {
      this.collector.add(record);
    });
  }

  /** Returns whether this process holds the lease of any cell. */
  public holdsAny(): boolean {
    return [...this.leases.values()].some(lease => lease.isLatestHolder());
  }

  /** Runs a task for each cell of the region, and one for snapshots. */
  public run(): Effect.Effect<never> {
    return runTaskPerPeer(
      () => [...this.cellsOfRegion(), SNAPSHOT_CELL],
      cell => this.runCell(cell),
    );
  }

  /** Releases all leases. */
  public release(deadline: number): Effect.Effect<void> {
    const releases = [...this.leases.values()].map(lease =>
      lease.release(deadline),
    );
    return Effect.all(releases, { concurrency: 'unbounded', discard: true });
  }

  /** Views of the workers whose cells this process holds. */
  public get workerViews(): readonly WorkerView[] {
    return [...this.schedulers.values()].flatMap(scheduler => [
      ...scheduler.workerViews.values(),
    ]);
  }

  private cellsOfRegion(): readonly string[] {
    const { state, settings } = this.core;
    const { cellsPerRegion } = state.fold.configuration.limits;
    return cellNames(settings.region, cellsPerRegion);
  }

  private rankFor(cell: string): number {
    const { members, own, settings } = this.core;
    const self = own.get();
    const others = members
      .ofRole('entry')
      .filter(
        ({ member }) =>
          member.state === 'alive' &&
          member.id !== self.id &&
          (cell === SNAPSHOT_CELL || member.region === settings.region),
      )
      .map(({ member }) => member.id);
    return rendezvousRank(cell, [self.id, ...others]).indexOf(self.id);
  }

  private leaseFor(cell: string): LeaseManager {
    const existing = this.leases.get(cell);
    if (existing !== undefined) {
      return existing;
    }
    const { instance, state, appender, clock, events } = this.core;
    const lease = new LeaseManager({
      cell,
      instance,
      state,
      appender,
      clock,
      identifiers: this.core.dependencies.identifiers,
      events,
      rank: () => this.rankFor(cell),
    });
    this.leases.set(cell, lease);
    return lease;
  }

  private runCell(cell: string): Effect.Effect<never> {
    const lease = this.leaseFor(cell);
    const work =
      cell === SNAPSHOT_CELL
        ? this.maintainLog(lease)
        : this.schedulerFor(cell).run();
    return Effect.raceFirst(lease.run(), work);
  }

  /** Writes snapshots and removes departed entries. */
  private maintainLog(lease: LeaseManager): Effect.Effect<never> {
    const { state, appender, clock, events } = this.core;
    const writer = new SnapshotWriter({
      lease,
      state,
      appender,
      clock,
      identifiers: this.core.dependencies.identifiers,
      events,
      newestSnapshotOffset: () => this.collector.newest?.next ?? 0,
    });
    const remover = new DepartedEntryRemover(this.core, lease);
    return Effect.raceFirst(writer.run(), remover.run());
  }

  private schedulerFor(cell: string): CellScheduler {
    const existing = this.schedulers.get(cell);
    if (existing !== undefined) {
      return existing;
    }
    const { state, appender, clock, events, health, members } = this.core;
    const { identifiers, workerAt } = this.core.dependencies;
    const scheduler = new CellScheduler({
      cell,
      lease: this.leaseFor(cell),
      state,
      appender,
      clock,
      identifiers,
      events,
      announced: () => announcedWorkers(members),
      workerAt,
      storeReachable: () => health.reachable,
      placement: this.core.settings.placement,
      throttlesAtStart: this.core.settings.placement === 'least-harm',
    });
    this.schedulers.set(cell, scheduler);
    return scheduler;
  }
}
