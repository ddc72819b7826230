import type { EntryClaims } from '@basilcourse/request-plane/claim/entry-claims';
import * as Effect from 'effect/Effect';

import type { CellManager } from '../scheduling/cell-manager.js';
import type { NodeCore } from './node-core.js';

/** Time limit for each step of leaving. */
const LEAVE_TIMEOUT_MILLISECONDS = 2000;

function transferClaims(
  { members, instance, clients, own }: NodeCore,
  entryClaims: EntryClaims,
): Effect.Effect<void> {
  const remainingEntries = members
    .ofRole('entry')
    .filter(
      ({ member }) => member.state === 'alive' && member.id !== own.get().id,
    );
  const calls = remainingEntries.map(({ member }) =>
    clients
      .entryAt(member.address)
      .transferClaims(instance, entryClaims.all, entryClaims.inheritedInstances)
      .pipe(Effect.timeout(LEAVE_TIMEOUT_MILLISECONDS), Effect.ignore),
  );
  return Effect.all(calls, { concurrency: 'unbounded', discard: true });
}

/**
 * Releases the leases of a stopping entry, transfers its claims to the other
 * entries, and records in the log that it has left.
 */
export function leaveDeployment(
  core: NodeCore,
  cells: CellManager,
  entryClaims: EntryClaims,
  now: number,
): Effect.Effect<void> {
  const { appender, instance, own } = core;
  const { address } = own.get();
  const deadline = now + LEAVE_TIMEOUT_MILLISECONDS;
  const body = { instance, address };
  return cells
    .release(deadline)
    .pipe(
      Effect.zipRight(transferClaims(core, entryClaims)),
      Effect.zipRight(
        appender.append(`left-${instance}`, 'entry-left', body, deadline),
      ),
      Effect.asVoid,
    );
}
