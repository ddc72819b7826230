import type { Clock } from '@basilcourse/foundation/clock/clock';
import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import { jitteredBackoff } from '@basilcourse/foundation/util/jittered-backoff';
import * as Effect from 'effect/Effect';

import type { LogPage } from '../log/log-page.js';
import type { PlatformLog } from '../log/platform-log.js';
import { recoverFromSnapshot } from './recover-from-snapshot.js';
import type { SharedState } from './shared-state.js';
import type { StoreHealth } from './store-health.js';

/** Maximum number of records requested in one read. */
const RECORDS_PER_READ = 1000;

const RETRY_BOUNDS = { initialMilliseconds: 100, maximumMilliseconds: 3000 };

/** Dependencies and settings of `followStore`. */
export interface FollowOptions {
  readonly log: PlatformLog;
  readonly state: SharedState;
  readonly health: StoreHealth;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Delay after a read that returned nothing new. */
  readonly pollMilliseconds: number;
  /** The log is read only while this returns true. */
  readonly enabled: () => boolean;
}

function readNext(
  options: FollowOptions,
): Effect.Effect<LogPage, PeerUnreachableError> {
  const { log, state } = options;
  return Effect.tryPromise({
    try: () => log.read(state.fold.next, RECORDS_PER_READ),
    catch: error => new PeerUnreachableError('log.read', 'log', error),
  });
}

function applyPage(
  options: FollowOptions,
  page: LogPage,
): Effect.Effect<boolean, PeerUnreachableError> {
  const { state, health, clock } = options;
  health.recordAnswer(clock.now());
  if (page.firstKept > state.fold.next) {
    return recoverFromSnapshot(options.log, state, page.firstKept);
  }
  state.applyAll(page.records, page.end);
  return Effect.succeed(page.records.length > 0);
}

/** Follows the platform's log for as long as the process runs. */
export function followStore(options: FollowOptions): Effect.Effect<never> {
  return Effect.gen(function* () {
    let failures = 0;
    for (;;) {
      if (!options.enabled()) {
        yield* Effect.sleep(options.pollMilliseconds);
        continue;
      }
      const step = readNext(options).pipe(
        Effect.flatMap(page => applyPage(options, page)),
        Effect.either,
      );
      const result = yield* step;
      if (result._tag === 'Left') {
        options.health.recordFailure(result.left.message);
        const { random } = options;
        yield* Effect.sleep(jitteredBackoff(failures, RETRY_BOUNDS, random));
        failures += 1;
        continue;
      }
      failures = 0;
      if (!result.right) {
        yield* Effect.sleep(options.pollMilliseconds);
      }
    }
  });
}
