import type { Clock } from '@basilcourse/foundation/clock/clock';
import { EntryService } from '@basilcourse/wire/request_plane_pb';
import type { ConnectRouter } from '@connectrpc/connect';

import type { ClaimMemory } from '../claim/claim-memory.js';

/** Dependencies of the handlers of calls to an entry. */
interface EntryRouteDependencies {
  readonly memory: ClaimMemory;
  readonly clock: Clock;
  readonly instance: string;
}

/** Registers the handlers of the calls to an entry. */
export function entryRoutes(
  dependencies: EntryRouteDependencies,
): (router: ConnectRouter) => void {
  const { memory, clock, instance } = dependencies;
  return router => {
    router.service(EntryService, {
      recall: ({ claimKey, requestId }) => {
        const holder = memory.claim(claimKey, requestId, clock.now());
        return {
          instance,
          holderRequestId: holder === requestId ? '' : holder,
          memoryStartMilliseconds: BigInt(memory.memoryStart),
          inheritedInstances: [...memory.inheritedInstances],
        };
      },
      handOver: request => {
        const claims = request.claims.map(claim => ({
          key: claim.claimKey,
          requestId: claim.requestId,
          claimedAt: Number(claim.claimedAtMilliseconds),
        }));
        memory.inherit(request.instance, request.inheritedInstances, claims);
        return { instance };
      },
    });
  };
}
