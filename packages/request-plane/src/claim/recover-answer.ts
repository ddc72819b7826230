import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { RecoverResponse } from '@basilcourse/wire/request_plane_pb';
import * as Effect from 'effect/Effect';

import type { CallerRequest } from '../entry/caller-request.js';
import type { PeerClients } from '../entry/peer-clients.js';
import type { MemberTable } from '../membership/member-table.js';
import { unknownOutcome } from '../outcome/outcomes.js';
import type { RunOutcome } from '../outcome/run-outcome.js';

const STEP = 'entry.recover';

const RECOVER_TIMEOUT_MILLISECONDS = 400;

const POLL_INTERVAL_MILLISECONDS = 50;

/** Maximum number of agents asked at the same time. */
const MAXIMUM_CONCURRENT_CALLS = 32;

/** Dependencies of `recoverAnswer`. */
interface RecoverDependencies {
  readonly members: MemberTable;
  readonly clients: PeerClients;
  readonly clock: Clock;
}

function askAgents(
  { members, clients }: RecoverDependencies,
  service: string,
  requestId: string,
): Effect.Effect<readonly RecoverResponse[]> {
  const agents = members
    .ofRole('agent')
    .filter(({ member }) =>
      member.upstreams.some(upstream => upstream.service === service),
    );
  const calls = agents.map(({ member }) =>
    clients
      .agentAt(member.address)
      .recover(requestId)
      .pipe(Effect.timeout(RECOVER_TIMEOUT_MILLISECONDS), Effect.option),
  );
  return Effect.all(calls, { concurrency: MAXIMUM_CONCURRENT_CALLS }).pipe(
    Effect.map(answers =>
      answers.flatMap(answer => (answer._tag === 'Some' ? [answer.value] : [])),
    ),
  );
}

function completedOf(
  answers: readonly RecoverResponse[],
): RunOutcome | undefined {
  for (const { outcome } of answers) {
    if (outcome.case === 'completed') {
      const { status, headers, body } = outcome.value;
      return { kind: 'completed', status, headers, body };
    }
  }
  return undefined;
}

/**
 * Fetches the answer of an earlier request under the same key from the agents
 * of its service; waits while that request is running. Never runs a request.
 */
export function recoverAnswer(
  dependencies: RecoverDependencies,
  holder: string,
  request: CallerRequest,
): Effect.Effect<RunOutcome> {
  return Effect.gen(function* () {
    for (;;) {
      const answers = yield* askAgents(dependencies, request.service, holder);
      const completed = completedOf(answers);
      if (completed !== undefined) {
        return completed;
      }
      const inProgress = answers.some(
        ({ outcome }) => outcome.case === 'inProgress',
      );
      const now = dependencies.clock.now();
      if (!inProgress || now + POLL_INTERVAL_MILLISECONDS >= request.deadline) {
        const reason = `an earlier request under the key, ${holder}, has no answer to give`;
        return unknownOutcome(STEP, 'agents', reason);
      }
      yield* Effect.sleep(POLL_INTERVAL_MILLISECONDS);
    }
  });
}
