import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { PeerTransports } from '@basilcourse/request-plane/transport/peer-transports';
import type { SharedState } from '@basilcourse/shared-state/follow/shared-state';
import type { RecordEnvelope } from '@basilcourse/shared-state/log/record-envelope';
import { readSnapshot } from '@basilcourse/shared-state/snapshot/snapshot-text';
import type { FollowResponse } from '@basilcourse/wire/membership_pb';
import { RecordService } from '@basilcourse/wire/membership_pb';
import { createClient } from '@connectrpc/connect';
import * as Effect from 'effect/Effect';

/** Time without a message after which another source is chosen. */
const PEER_TIMEOUT_MILLISECONDS = 3500;

function applyMessage(
  state: SharedState,
  message: FollowResponse,
  configurationOnly: boolean,
): void {
  if (message.snapshot.length > 0) {
    state.replaceIfNewer(
      readSnapshot(Buffer.from(message.snapshot).toString()),
    );
    return;
  }
  const next = Number(message.nextOffset);
  const records = message.records.map(({ offset, json }) => ({
    offset: Number(offset),
    envelope: JSON.parse(json) as RecordEnvelope,
  }));
  state.applyAll(records, next);
  if (configurationOnly) {
    state.fold.skipTo(next);
  }
}

/**
 * Follows the log through a peer until the peer sends nothing within the
 * timeout, the fiber is interrupted, or `shouldContinue` returns false.
 */
export function followPeer(
  transports: PeerTransports,
  state: SharedState,
  address: string,
  configurationOnly: boolean,
  shouldContinue: () => boolean,
): Effect.Effect<void, PeerUnreachableError> {
  const client = createClient(RecordService, transports.to(address));
  return Effect.tryPromise({
    try: async signal => {
      const timeout = new AbortController();
      const stop = AbortSignal.any([signal, timeout.signal]);
      let timer = setTimeout(() => {
        timeout.abort();
      }, PEER_TIMEOUT_MILLISECONDS);
      const fromOffset = BigInt(state.fold.next);
      try {
        const messages = client.follow(
          { fromOffset, configurationOnly },
          { signal: stop },
        );
        for await (const message of messages) {
          clearTimeout(timer);
          timer = setTimeout(() => {
            timeout.abort();
          }, PEER_TIMEOUT_MILLISECONDS);
          applyMessage(state, message, configurationOnly);
          if (!shouldContinue()) {
            return;
          }
        }
      } finally {
        clearTimeout(timer);
      }
    },
    catch: error => new PeerUnreachableError('relay.follow', address, error),
  });
}
