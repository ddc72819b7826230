import type { Clock } from '@basilcourse/foundation/clock/clock';
import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import { jitteredBackoff } from '@basilcourse/foundation/util/jittered-backoff';
import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import * as FiberId from 'effect/FiberId';

import type { FoldOutcome } from '../fold/fold-outcome.js';
import type { PlatformLog } from '../log/platform-log.js';
import type { RecordEnvelope } from '../log/record-envelope.js';
import { RECORD_VERSION } from '../records/record-kinds.js';
import type { AppendResult } from './append-result.js';
import type { SharedState } from './shared-state.js';
import type { StoreHealth } from './store-health.js';

/** Maximum number of appends of one process that wait at the same time. */
const MAXIMUM_WAITING_APPENDS = 256;

const RETRY_BOUNDS = { initialMilliseconds: 50, maximumMilliseconds: 1000 };

interface AppenderOptions {
  readonly log: PlatformLog;
  readonly state: SharedState;
  readonly health: StoreHealth;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventRecorder;
  /** Instance of this process; written into each record. */
  readonly writer: string;
}

/**
 * Appends records and waits until they are read back.
 *
 * A record is sent again under the same identifier until an append succeeds;
 * the fold applies it once.
 */
export class RecordAppender {
  private waitingCount = 0;

  private sentCount = 0;

  public constructor(private readonly options: AppenderOptions) {}

  /** Number of appends sent so far, including retries. */
  public get sent(): number {
    return this.sentCount;
  }

  /**
   * Appends a record and waits until the fold of this process applies it.
   *
   * @param deadline - Time after which waiting ends, in milliseconds since
   * the epoch.
   */
  public append(
    id: string,
    kind: string,
    body: unknown,
    deadline: number,
  ): Effect.Effect<AppendResult> {
    if (this.waitingCount >= MAXIMUM_WAITING_APPENDS) {
      const reason = `${this.waitingCount} appends wait already`;
      this.options.events.record('append-dropped', `${kind}: ${reason}`);
      return Effect.succeed({ kind: 'dropped', reason });
    }
    return Effect.suspend(() => {
      this.waitingCount += 1;
      return this.appendAndWait(id, kind, body, deadline);
    }).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.waitingCount -= 1;
        }),
      ),
    );
  }

  private appendAndWait(
    id: string,
    kind: string,
    body: unknown,
    deadline: number,
  ): Effect.Effect<AppendResult> {
    const { clock, state, writer } = this.options;
    const now = clock.now();
    const envelope = {
      id,
      kind,
      version: RECORD_VERSION,
      writer,
      writtenAt: now,
      body,
    };
    const applied = Deferred.unsafeMake<FoldOutcome>(FiberId.none);
    state.whenApplied(id, outcome => {
      Deferred.unsafeDone(applied, Effect.succeed(outcome));
    });
    const readBack = Deferred.await(applied).pipe(
      Effect.map((outcome): AppendResult => ({ kind: 'applied', outcome })),
    );
    const expiry = Effect.sleep(Math.max(0, deadline - now)).pipe(
      Effect.as<AppendResult>({
        kind: 'unknown',
        reason: 'not read back before the deadline',
      }),
    );
    return Effect.raceAll([
      readBack,
      expiry,
      this.sendUntilAccepted(envelope),
    ]).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          state.stopWaiting(id);
        }),
      ),
    );
  }

  private sendUntilAccepted(envelope: RecordEnvelope): Effect.Effect<never> {
    const { random, health } = this.options;
    const sendOnce = this.sendOnce(envelope);
    return Effect.gen(function* () {
      for (let failures = 0; ; failures += 1) {
        const result = yield* sendOnce;
        if (result._tag === 'Right') {
          break;
        }
        health.recordFailure(result.left.message);
        yield* Effect.sleep(jitteredBackoff(failures, RETRY_BOUNDS, random));
      }
      return yield* Effect.never;
    });
  }

  private sendOnce(
    envelope: RecordEnvelope,
  ): Effect.Effect<
    { readonly _tag: 'Right' } | { readonly _tag: 'Left'; readonly left: Error }
  > {
    return Effect.tryPromise({
      try: () => {
        this.sentCount += 1;
        return this.options.log.append(envelope);
      },
      catch: error =>
        new PeerUnreachableError('log.append', 'log', messageOf(error)),
    }).pipe(Effect.either);
  }
}
