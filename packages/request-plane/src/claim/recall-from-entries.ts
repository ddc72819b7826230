import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { EntryInstance } from '@basilcourse/shared-state/configuration/entry-instance';
import type { SharedState } from '@basilcourse/shared-state/follow/shared-state';
import type { RecallResponse } from '@basilcourse/wire/request_plane_pb';
import * as Effect from 'effect/Effect';

import type { PeerClients } from '../entry/peer-clients.js';
import type { MemberTable } from '../membership/member-table.js';
import type { EntryClaims } from './entry-claims.js';
import { memoryWindowStart } from './memory-window-start.js';

const RECALL_TIMEOUT_MILLISECONDS = 400;

/** Dependencies of `recallFromEntries`. */
interface RecallDependencies {
  readonly state: SharedState;
  readonly members: MemberTable;
  readonly entryClaims: EntryClaims;
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly instance: string;
}

/** What the entries report about a key. */
export interface RecallResult {
  /** Identifier of another request that claimed the key; empty for none. */
  readonly holder: string;
  /** Instances that may have claimed the key and whose answer is missing. */
  readonly missing: readonly string[];
}

function instancesToAsk({
  state,
  clock,
  instance,
}: RecallDependencies): readonly EntryInstance[] {
  const { configuration } = state.fold;
  const { entries } = configuration;
  const windowStart = memoryWindowStart(configuration, clock.now());
  return [...entries.values()].filter(
    entry =>
      entry.instance !== instance &&
      (entry.leftAt === 0 || entry.leftAt > windowStart),
  );
}

function askAllEntries(
  dependencies: RecallDependencies,
  key: string,
  requestId: string,
): Effect.Effect<readonly RecallResponse[]> {
  const { members, clients, instance } = dependencies;
  const peers = members
    .ofRole('entry')
    .filter(({ member }) => member.instance !== instance);
  const calls = peers.map(({ member }) =>
    clients
      .entryAt(member.address)
      .recall(key, requestId)
      .pipe(Effect.timeout(RECALL_TIMEOUT_MILLISECONDS), Effect.option),
  );
  return Effect.all(calls, { concurrency: 'unbounded' }).pipe(
    Effect.map(answers =>
      answers.flatMap(answer => (answer._tag === 'Some' ? [answer.value] : [])),
    ),
  );
}

function coversWindow(
  answer: RecallResponse,
  entry: EntryInstance,
  windowStart: number,
): boolean {
  const remembersWindow =
    Number(answer.memoryStartMilliseconds) <=
    Math.max(windowStart, entry.joinedAt);
  return answer.instance === entry.instance && remembersWindow;
}

/**
 * Asks every entry that may have claimed a key within the time that claims are
 * remembered. An entry that answers promises not to claim it for another
 * request.
 */
export function recallFromEntries(
  dependencies: RecallDependencies,
  key: string,
  requestId: string,
): Effect.Effect<RecallResult> {
  return askAllEntries(dependencies, key, requestId).pipe(
    Effect.map(answers => {
      const { state, clock, entryClaims } = dependencies;
      const { configuration } = state.fold;
      const windowStart = memoryWindowStart(configuration, clock.now());
      const inherited = new Set([
        ...entryClaims.inheritedInstances,
        ...answers.flatMap(answer => answer.inheritedInstances),
      ]);
      const missing = instancesToAsk(dependencies).filter(
        entry =>
          !inherited.has(entry.instance) &&
          !answers.some(answer => coversWindow(answer, entry, windowStart)),
      );
      const holderAnswer = answers.find(
        answer =>
          answer.holderRequestId !== '' && answer.holderRequestId !== requestId,
      );
      return {
        holder: holderAnswer?.holderRequestId ?? '',
        missing: missing.map(({ instance }) => instance),
      };
    }),
  );
}
