import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import type { ExchangeResponse } from '@basilcourse/wire/membership_pb';
import {
  ExchangeRequestSchema,
  MembershipService,
} from '@basilcourse/wire/membership_pb';
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import * as Effect from 'effect/Effect';

import { callPeer } from '../transport/call-peer.js';
import type { PeerTransports } from '../transport/peer-transports.js';
import { memberOf, memberRecordOf } from './member-messages.js';
import type { MemberTable } from './member-table.js';
import { HEARTBEAT_INTERVAL_MILLISECONDS } from './member-table.js';
import type { OwnMember } from './own-member.js';

const EXCHANGE_TIMEOUT_MILLISECONDS = 1000;

/** Maximum deviation of a heartbeat interval, as a share of the interval. */
const JITTER_SHARE = 0.1;

interface AttemptLoad {
  readonly attemptId: string;
  readonly load: {
    readonly slots: number;
    readonly running: number;
    readonly queued: number;
    readonly meanServiceMicroseconds: number;
  };
}

/** Dependencies of the heartbeat exchange of one process. */
export interface HeartbeatDependencies {
  readonly transports: PeerTransports;
  readonly members: MemberTable;
  readonly own: OwnMember;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Loads of the upstreams on this process's VM. */
  readonly loads: () => readonly AttemptLoad[];
}

/** What one process has sent to a peer and received from it so far. */
interface ExchangeProgress {
  readonly sentSequence: number;
  readonly seenSequence: number;
  readonly seenInstance: string;
}

const NO_PROGRESS: ExchangeProgress = {
  sentSequence: 0,
  seenSequence: 0,
  seenInstance: '',
};

function applyResponse(
  dependencies: HeartbeatDependencies,
  response: ExchangeResponse,
): void {
  const now = dependencies.clock.now();
  const changes = response.changes.map(memberOf);
  const { id } = dependencies.own.get();
  for (const reported of changes.filter(change => change.id === id)) {
    dependencies.own.refute(reported);
  }
  dependencies.members.merge(changes, now);
  if (response.self !== undefined) {
    dependencies.members.applyHeartbeat(memberOf(response.self), now);
  }
  if (response.you !== undefined) {
    dependencies.own.refute(memberOf(response.you));
  }
}

/**
 * Sends one heartbeat to a peer and applies the member changes in its response.
 *
 * After a failure the connection is reset and the returned progress is empty,
 * so the next heartbeat exchanges all members again.
 */
export function exchangeHeartbeat(
  dependencies: HeartbeatDependencies,
  address: string,
  progress: ExchangeProgress = NO_PROGRESS,
): Effect.Effect<ExchangeProgress> {
  const { transports, members, own } = dependencies;
  const client = createClient(MembershipService, transports.to(address));
  return Effect.suspend(() => {
    const sentSequence = members.sequence;
    const isEntry = own.get().role === 'entry';
    const changes = isEntry ? members.changesSince(progress.sentSequence) : [];
    const request = create(ExchangeRequestSchema, {
      self: memberRecordOf(own.get()),
      changes: changes.map(memberRecordOf),
      seenSequence: BigInt(progress.seenSequence),
      seenInstance: progress.seenInstance,
      loads: [...dependencies.loads()],
    });
    return callPeer('membership.exchange', address, signal =>
      client.exchange(request, { signal }),
    ).pipe(
      Effect.timeout(EXCHANGE_TIMEOUT_MILLISECONDS),
      Effect.map(response => {
        applyResponse(dependencies, response);
        return {
          sentSequence,
          seenSequence: Number(response.sequence),
          seenInstance: response.self?.instance ?? '',
        };
      }),
      Effect.catchAll(() =>
        Effect.sync(() => {
          transports.reset(address);
          return NO_PROGRESS;
        }),
      ),
    );
  });
}

/** Exchanges heartbeats with one peer until interrupted. */
export function exchangeHeartbeatsForever(
  dependencies: HeartbeatDependencies,
  address: string,
): Effect.Effect<never> {
  return Effect.gen(function* () {
    let progress = NO_PROGRESS;
    for (;;) {
      progress = yield* exchangeHeartbeat(dependencies, address, progress);
      const jitter = 1 + (dependencies.random.next() - 0.5) * 2 * JITTER_SHARE;
      yield* Effect.sleep(HEARTBEAT_INTERVAL_MILLISECONDS * jitter);
    }
  });
}
