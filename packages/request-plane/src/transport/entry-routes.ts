import type { Clock } from '@basilcourse/foundation/clock/clock';
import { EntryService } from '@basilcourse/wire/request_plane_pb';
import type { ConnectRouter } from '@connectrpc/connect';

import type { EntryClaims } from '../claim/entry-claims.js';

/** Dependencies of the handlers of calls to an entry. */
interface EntryRouteDependencies {
  readonly entryClaims: EntryClaims;
  readonly clock: Clock;
  readonly instance: string;
}

/** Registers the handlers of the calls to an entry. */
export function entryRoutes(
  dependencies: EntryRouteDependencies,
): (router: ConnectRouter) => void {
  const { entryClaims, clock, instance } = dependencies;
  return router => {
    router.service(EntryService, {
      recall: ({ claimKey, requestId }) => {
        const holder = entryClaims.claim(claimKey, requestId, clock.now());
        return {
          instance,
          holderRequestId: holder === requestId ? '' : holder,
          memoryStartMilliseconds: BigInt(entryClaims.memoryStart),
          inheritedInstances: [...entryClaims.inheritedInstances],
        };
      },
      handOver: request => {
        const claims = request.claims.map(claim => ({
          key: claim.claimKey,
          requestId: claim.requestId,
          claimedAt: Number(claim.claimedAtMilliseconds),
        }));
        entryClaims.inherit(
          request.instance,
          request.inheritedInstances,
          claims,
        );
        return { instance };
      },
    });
  };
}
