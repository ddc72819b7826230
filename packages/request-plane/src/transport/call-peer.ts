import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import { ConnectError } from '@connectrpc/connect';
import * as Effect from 'effect/Effect';

function reasonOf(error: unknown): string {
  const connectError = ConnectError.from(error);
  const { cause } = connectError;
  return cause instanceof Error
    ? `${connectError.message} (${cause.message})`
    : connectError.message;
}

/** Calls a peer; interruption also cancels the call at the peer. */
export function callPeer<Answer>(
  step: string,
  peer: string,
  call: (signal: AbortSignal) => Promise<Answer>,
): Effect.Effect<Answer, PeerUnreachableError> {
  return Effect.tryPromise({
    try: call,
    catch: error => new PeerUnreachableError(step, peer, reasonOf(error)),
  });
}
