import { followStore } from '@basilcourse/shared-state/follow/follow-store';
import * as Effect from 'effect/Effect';

import type { RecordSource } from '../relay/choose-source.js';
import { chooseSource } from '../relay/choose-source.js';
import { followPeer } from '../relay/follow-peer.js';
import type { NodeCore } from './node-core.js';

/** Delay after a read of the store that returned nothing new. */
const POLL_INTERVAL_MILLISECONDS = 150;

/** Interval at which the source is chosen again. */
const CHOICE_INTERVAL_MILLISECONDS = 200;

function sourceOf(core: NodeCore, failures: number): RecordSource {
  const entries = core.members.ofRole('entry').map(({ member }) => member);
  return chooseSource(core.own.get(), entries, failures);
}

function isSame(left: RecordSource, right: RecordSource): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

/**
 * Follows the log for as long as the node runs, through its highest-ranked
 * source; after a failure through the one that ranks next.
 *
 * @param mustReadStore - Returns whether the node must read the store itself.
 */
export function followLog(
  core: NodeCore,
  mustReadStore: () => boolean,
): Effect.Effect<never> {
  const { state, health, clock, transports } = core;
  const { log, random } = core.dependencies;
  let failures = 0;
  const chooseCurrentSource = (): RecordSource =>
    mustReadStore() ? { kind: 'store' } : sourceOf(core, failures);
  const followingStore = followStore({
    log,
    state,
    health,
    clock,
    random,
    pollMilliseconds: POLL_INTERVAL_MILLISECONDS,
    enabled: () => chooseCurrentSource().kind === 'store',
  });
  const isAgent = core.own.get().role === 'agent';
  const followingPeers = Effect.gen(function* () {
    for (;;) {
      const source = chooseCurrentSource();
      if (source.kind === 'store') {
        yield* Effect.sleep(CHOICE_INTERVAL_MILLISECONDS);
        if (isAgent && failures > 0) {
          failures += 1;
        }
        continue;
      }
      const isStillChosen = (): boolean =>
        isSame(chooseCurrentSource(), source);
      const { address } = source;
      const result = yield* followPeer(
        transports,
        state,
        address,
        isAgent,
        isStillChosen,
      ).pipe(Effect.either);
      failures = result._tag === 'Left' ? failures + 1 : 0;
      yield* Effect.sleep(CHOICE_INTERVAL_MILLISECONDS);
    }
  });
  return Effect.raceFirst(followingStore, followingPeers);
}
