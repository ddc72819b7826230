import type { AgentClaims } from '@basilcourse/request-plane/agent/agent-claims';
import * as Effect from 'effect/Effect';

import type { NodeCore } from './node-core.js';

const CHECK_INTERVAL_MILLISECONDS = 500;

/** Time limit for one read. */
const READ_TIMEOUT_MILLISECONDS = 1000;

/**
 * Records the end of the log in the claims of the agent, unless that was done
 * since `memoryStart`. Reads the store directly, as the state of a peer may be
 * older than `memoryStart`.
 */
export function recordLogEnd(
  core: NodeCore,
  agentClaims: AgentClaims,
): Effect.Effect<void> {
  return Effect.suspend(() => {
    const { memoryStart, memoryStartOffset } = agentClaims;
    if (memoryStartOffset !== undefined) {
      return Effect.void;
    }
    const { log } = core.dependencies;
    return Effect.tryPromise(() => log.read(core.state.fold.next, 1)).pipe(
      Effect.timeout(READ_TIMEOUT_MILLISECONDS),
      Effect.map(({ end }) => {
        agentClaims.recordLogEnd(end, memoryStart);
      }),
      Effect.ignore,
    );
  });
}

/**
 * Records the end of the log after each change of `memoryStart`. Entries derive
 * from it which processes to ask about earlier requests.
 */
export function recordLogEndForever(
  core: NodeCore,
  agentClaims: AgentClaims,
): Effect.Effect<never> {
  return recordLogEnd(core, agentClaims).pipe(
    Effect.zipRight(Effect.sleep(CHECK_INTERVAL_MILLISECONDS)),
    Effect.forever,
  );
}
