import type { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { RecallResponse } from '@basilcourse/wire/request_plane_pb';
import type * as Effect from 'effect/Effect';

import type { RememberedClaim } from '../claim/remembered-claim.js';

/** Calls to another entry. */
export interface EntryClient {
  readonly recall: (
    claimKey: string,
    requestId: string,
  ) => Effect.Effect<RecallResponse, PeerUnreachableError>;
  /** Transfers the claims of this stopping entry to the other entry. */
  readonly transferClaims: (
    instance: string,
    claims: readonly RememberedClaim[],
    inheritedInstances: readonly string[],
  ) => Effect.Effect<void, PeerUnreachableError>;
}
