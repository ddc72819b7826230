import type { ClaimRegister } from '@basilcourse/request-plane/agent/claim-register';
import * as Effect from 'effect/Effect';

import type { NodeCore } from './node-core.js';

const CHECK_MILLISECONDS = 500;

/** Longest wait for one read. */
const READ_TIMEOUT_MILLISECONDS = 1000;

/**
 * Reads the end of the log unless it is known since the start of the memory of
 * keys. Reads the store itself: what a peer knows may be older than the start.
 */
export function noteLogEnd(
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
 * Keeps the end of the log known after each start of the memory of keys, so
 * that entries can tell whom to ask about the time before.
 */
export function keepLogEnd(
  core: NodeCore,
  register: ClaimRegister,
): Effect.Effect<never> {
  return noteLogEnd(core, register).pipe(
    Effect.zipRight(Effect.sleep(CHECK_MILLISECONDS)),
    Effect.forever,
  );
}
