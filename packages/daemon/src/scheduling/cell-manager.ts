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
import { CellHolder } from './cell-holder.js';
import { EntryJanitor } from './entry-janitor.js';
import { LeaseKeeper } from './lease-keeper.js';
import { SnapshotWriter } from './snapshot-writer.js';

/** Runs for the leases of all cells of the region, and holds those it gets. */
export class CellManager {
  private readonly leases = new Map<string, LeaseKeeper>();

  private readonly holders = new Map<string, CellHolder>();

  private readonly collector = new SnapshotCollector();

  public constructor(private readonly core: NodeCore) {
    core.state.onOutcome(({ record }) => {
      this.collector.add(record);
    });
  }

  /** Tells whether this process holds the lease of any cell. */
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

  /** Lets all leases go. */
  public release(deadline: number): Effect.Effect<void> {
    const releases = [...this.leases.values()].map(lease =>
      lease.release(deadline),
    );
    return Effect.all(releases, { concurrency: 'unbounded', discard: true });
  }

  /** Views of the workers whose cells this process holds. */
  public get workerViews(): readonly WorkerView[] {
    return [...this.holders.values()].flatMap(holder => [
      ...holder.workerViews.values(),
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

  private leaseFor(cell: string): LeaseKeeper {
    const known = this.leases.get(cell);
    if (known !== undefined) {
      return known;
    }
    const { instance, state, appender, clock, events } = this.core;
    const lease = new LeaseKeeper({
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
    const duty =
      cell === SNAPSHOT_CELL
        ? this.keepOrder(lease)
        : this.holderFor(cell).run();
    return Effect.raceFirst(lease.run(), duty);
  }

  /** Writes snapshots and strikes off entries that are gone. */
  private keepOrder(lease: LeaseKeeper): Effect.Effect<never> {
    const { state, appender, clock, events } = this.core;
    const writer = new SnapshotWriter({
      lease,
      state,
      appender,
      clock,
      identifiers: this.core.dependencies.identifiers,
      events,
      newestSnapshot: () => this.collector.newest?.next ?? 0,
    });
    const janitor = new EntryJanitor(this.core, lease);
    return Effect.raceFirst(writer.run(), janitor.run());
  }

  private holderFor(cell: string): CellHolder {
    const known = this.holders.get(cell);
    if (known !== undefined) {
      return known;
    }
    const { state, appender, clock, events, health, members } = this.core;
    const { identifiers, workerAt } = this.core.dependencies;
    const holder = new CellHolder({
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
      throttlesStarts: this.core.settings.placement === 'least-harm',
    });
    this.holders.set(cell, holder);
    return holder;
  }
}
