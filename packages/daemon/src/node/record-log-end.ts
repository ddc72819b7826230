import type { ClaimRegister } from '@basilcourse/request-plane/agent/claim-register';
import * as Effect from 'effect/Effect';

import type { NodeCore } from './node-core.js';

const CHECK_INTERVAL_MILLISECONDS = 500;

/** Time limit for one read. */
const READ_TIMEOUT_MILLISECONDS = 1000;

/**
 * Records the end of the log unless it was recorded since the start of the
 * register's memory of keys. Reads the store itself, as the state of a peer may
 * be older than that start.
 */
export function recordLogEnd(
  core: NodeCore,
  register: ClaimRegister,
): Effect.Effect<void> {
  return Effect.suspend(() => {
    const { memoryStart, memoryStartOffset } = register;
    if (memoryStartOffset !== undefined) {
      return Effect.void;
    }
    const { log } = core.dependencies;
    return Effect.tryPromise(() => log.read(core.state.fold.next, 1)).pipe(
      Effect.timeout(READ_TIMEOUT_MILLISECONDS),
      Effect.map(({ end }) => {
        register.recordLogEnd(end, memoryStart);
      }),
      Effect.ignore,
    );
  });
}

/**
 * Records the end of the log after each start of the register's memory of
 * keys. Entries derive from it which processes to ask about earlier requests.
 */
export function recordLogEndForever(
  core: NodeCore,
  register: ClaimRegister,
): Effect.Effect<never> {
  return recordLogEnd(core, register).pipe(
    Effect.zipRight(Effect.sleep(CHECK_INTERVAL_MILLISECONDS)),
    Effect.forever,
  );
}
