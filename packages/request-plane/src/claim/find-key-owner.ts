import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { SharedState } from '@basilcourse/shared-state/follow/shared-state';

import type { MemberTable } from '../membership/member-table.js';
import type { KeyOwner } from './key-owner.js';
import { keyOwnersSince } from './key-owners-since.js';
import { memoryWindowStart } from './memory-window-start.js';

/** Dependencies of `findKeyOwner`. */
interface KeyOwnerDependencies {
  readonly state: SharedState;
  readonly members: MemberTable;
  readonly clock: Clock;
}

/**
 * Finds the agent that owns a key; undefined when no attempt of the service is
 * active, or when the agent on the attempt's VM is not a live member.
 */
export function findKeyOwner(
  { state, members, clock }: KeyOwnerDependencies,
  service: string,
  key: string,
): KeyOwner | undefined {
  const { scheduling, configuration } = state.fold;
  const windowStart = memoryWindowStart(configuration, clock.now());
  const owners = keyOwnersSince(scheduling, service, key, windowStart);
  const attempt = scheduling.attempts.get(owners[0] ?? '');
  if (attempt === undefined || attempt.state === 'lost') {
    return undefined;
  }
  const agent = members
    .ofRole('agent')
    .find(({ member }) => member.worker === attempt.worker);
  return agent === undefined
    ? undefined
    : {
        address: agent.member.address,
        attempt: attempt.id,
        sinceOffset: attempt.keeperSinceOffset,
        windowStart,
        changedWithinWindow: owners.length > 1,
      };
}
