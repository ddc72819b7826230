import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';
import type { IdentifierSource } from '@basilcourse/foundation/identifiers/identifier-source';
import type { RecordAppender } from '@basilcourse/shared-state/follow/record-appender';
import type { SharedState } from '@basilcourse/shared-state/follow/shared-state';
import { writeSnapshot } from '@basilcourse/shared-state/snapshot/snapshot-text';
import { splitSnapshot } from '@basilcourse/shared-state/snapshot/split-snapshot';
import * as Effect from 'effect/Effect';

import type { LeaseManager } from './lease-manager.js';

/** Number of records after which a new snapshot is written. */
export const RECORDS_PER_SNAPSHOT = 2000;

const CHECK_INTERVAL_MILLISECONDS = 1000;

const APPEND_TIMEOUT_MILLISECONDS = 5000;

/** Dependencies of `SnapshotWriter`. */
interface SnapshotWriterDependencies {
  readonly lease: LeaseManager;
  readonly state: SharedState;
  readonly appender: RecordAppender;
  readonly clock: Clock;
  readonly identifiers: IdentifierSource;
  readonly events: EventRecorder;
  /** Returns the first offset that the newest complete snapshot excludes. */
  readonly newestSnapshotOffset: () => number;
}

/** Appends snapshots to the log while this process holds their lease. */
export class SnapshotWriter {
  public constructor(
    private readonly dependencies: SnapshotWriterDependencies,
  ) {}

  public run(): Effect.Effect<never> {
    return Effect.suspend(() => this.step()).pipe(
      Effect.zipRight(Effect.sleep(CHECK_INTERVAL_MILLISECONDS)),
      Effect.forever,
    );
  }

  private step(): Effect.Effect<void> {
    const { lease, state, clock, newestSnapshotOffset } = this.dependencies;
    const isDue =
      state.fold.next - newestSnapshotOffset() >= RECORDS_PER_SNAPSHOT;
    return isDue && lease.holds(clock.now()) ? this.write() : Effect.void;
  }

  private write(): Effect.Effect<void> {
    const { state, appender, clock, identifiers, events } = this.dependencies;
    const text = writeSnapshot(state.fold);
    const snapshot = identifiers.next('snapshot');
    const chunks = splitSnapshot(snapshot, state.fold.next, text);
    const appends = chunks.map(chunk =>
      Effect.suspend(() =>
        appender.append(
          `${snapshot}.${chunk.chunk}`,
          'snapshot-chunk',
          chunk,
          clock.now() + APPEND_TIMEOUT_MILLISECONDS,
        ),
      ),
    );
    return Effect.all(appends).pipe(
      Effect.map(() => {
        const eventText = `Snapshot of ${text.length} characters in ${chunks.length} records.`;
        events.record('snapshot-written', eventText);
      }),
    );
  }
}
