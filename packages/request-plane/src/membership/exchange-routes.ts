import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { ExchangeRequest } from '@basilcourse/wire/membership_pb';
import {
  ExchangeResponseSchema,
  MembershipService,
} from '@basilcourse/wire/membership_pb';
import { create } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';

import type { LoadTable } from '../routing/load-table.js';
import type { Member } from './member.js';
import { memberOf, memberRecordOf } from './member-messages.js';
import type { MemberTable } from './member-table.js';

const MICROSECONDS_PER_MILLISECOND = 1000;

/** Maximum number of member changes in one response. */
const MAXIMUM_CHANGES_PER_RESPONSE = 5000;

/** Dependencies of the heartbeat handler. */
interface ExchangeDependencies {
  readonly members: MemberTable;
  readonly loads: LoadTable;
  readonly self: () => Member;
  /**
   * Contradicts a peer that reports this process as suspect or dead, by raising
   * this process's incarnation.
   */
  readonly refute: (reported: Member) => void;
  readonly clock: Clock;
}

function recordLoads(
  loads: LoadTable,
  request: ExchangeRequest,
  now: number,
): void {
  for (const { attemptId, load } of request.loads) {
    if (load !== undefined) {
      const { slots, running, queued, meanServiceMicroseconds } = load;
      const serviceMilliseconds =
        meanServiceMicroseconds / MICROSECONDS_PER_MILLISECOND;
      const report = { slots, running, queued, serviceMilliseconds };
      loads.recordReport(attemptId, report, now);
    }
  }
}

/** Member changes for a sender; agents receive those of entries only. */
function changesFor(
  members: MemberTable,
  sender: Member,
  seenSequence: number,
): readonly Member[] {
  const changes = members.changesSince(seenSequence);
  const relevant =
    sender.role === 'entry'
      ? changes
      : changes.filter(({ role }) => role === 'entry');
  return relevant
    .filter(({ id }) => id !== sender.id)
    .slice(0, MAXIMUM_CHANGES_PER_RESPONSE);
}

/** Registers the handler of heartbeats from other processes. */
export function exchangeRoutes(
  dependencies: ExchangeDependencies,
): (router: ConnectRouter) => void {
  const { members, loads, clock } = dependencies;
  return router => {
    router.service(MembershipService, {
      exchange: request => {
        if (request.self === undefined) {
          return create(ExchangeResponseSchema, {});
        }
        const sender = memberOf(request.self);
        const now = clock.now();
        const current = members.applyHeartbeat(sender, now);
        const changes = request.changes.map(memberOf);
        const self = dependencies.self();
        changes.filter(({ id }) => id === self.id).forEach(dependencies.refute);
        members.merge(changes, now);
        recordLoads(loads, request, now);
        const isSameInstance = request.seenInstance === self.instance;
        const seenSequence = isSameInstance ? Number(request.seenSequence) : 0;
        return create(ExchangeResponseSchema, {
          self: memberRecordOf(dependencies.self()),
          you: memberRecordOf(current),
          changes: changesFor(members, sender, seenSequence).map(
            memberRecordOf,
          ),
          sequence: BigInt(members.sequence),
        });
      },
    });
  };
}
