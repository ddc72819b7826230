import type { ClaimMemory } from '@basilcourse/request-plane/claim/claim-memory';
import * as Effect from 'effect/Effect';

import type { CellManager } from '../scheduling/cell-manager.js';
import type { NodeCore } from './node-core.js';

/** Time limit for each step of leaving. */
const LEAVE_TIMEOUT_MILLISECONDS = 2000;

function handOverMemory(
  { members, instance, clients, own }: NodeCore,
  memory: ClaimMemory,
): Effect.Effect<void> {
  const remainingEntries = members
    .ofRole('entry')
    .filter(
      ({ member }) => member.state === 'alive' && member.id !== own.get().id,
    );
  const calls = remainingEntries.map(({ member }) =>
    clients
      .entryAt(member.address)
      .handOver(instance, memory.all, memory.inheritedInstances)
      .pipe(Effect.timeout(LEAVE_TIMEOUT_MILLISECONDS), Effect.ignore),
  );
  return Effect.all(calls, { concurrency: 'unbounded', discard: true });
}

/** Releases the leases of a stopping entry and hands its key memory over. */
export function leaveDeployment(
  core: NodeCore,
  cells: CellManager,
  memory: ClaimMemory,
  now: number,
): Effect.Effect<void> {
  const { appender, instance, own } = core;
  const { address } = own.get();
  const deadline = now + LEAVE_TIMEOUT_MILLISECONDS;
  const body = { instance, address };
  return cells
    .release(deadline)
    .pipe(
      Effect.zipRight(handOverMemory(core, memory)),
      Effect.zipRight(
        appender.append(`left-${instance}`, 'entry-left', body, deadline),
      ),
      Effect.asVoid,
    );
}
