import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';
import type { RunRequest } from '@basilcourse/wire/request_plane_pb';
import { RunRequestSchema } from '@basilcourse/wire/request_plane_pb';
import { create } from '@bufbuild/protobuf';
import * as Effect from 'effect/Effect';

import { notRunOutcome, unknownOutcome } from '../outcome/outcomes.js';
import type { RunOutcome } from '../outcome/run-outcome.js';
import type { LoadTable } from '../routing/load-table.js';
import type { UpstreamCandidate } from '../routing/upstream-candidate.js';
import type { CallerRequest } from './caller-request.js';
import type { PeerClients } from './peer-clients.js';

const STEP = 'entry.hand-over';

/** Step of a hand-over that failed before the request was sent. */
export const CONNECT_STEP = 'entry.connect';

/** Time within which an agent must answer a fence request. */
const FENCE_TIMEOUT_MILLISECONDS = 500;

/** Time after the deadline for the agent's answer to arrive. */
const ANSWER_GRACE_MILLISECONDS = 100;

/** Dependencies of `handOver`. */
export interface HandOverDependencies {
  readonly clients: PeerClients;
  readonly loads: LoadTable;
  readonly events: EventRecorder;
  readonly clock: Clock;
  readonly entryId: string;
}

/** One try of a request at one upstream. */
interface HandOverTry {
  /** Identifier of this try; the agent runs each identifier at most once. */
  readonly tryId: string;
  readonly request: CallerRequest;
  readonly claimKey: string;
  readonly upstream: UpstreamCandidate;
}

function runRequestOf(
  entryId: string,
  handOverTry: HandOverTry,
  now: number,
): RunRequest {
  const { request, upstream } = handOverTry;
  return create(RunRequestSchema, {
    requestId: handOverTry.tryId,
    callerRequestId: request.requestId,
    service: request.service,
    agentInstance: upstream.agentInstance,
    attemptId: upstream.attempt,
    unrepeatable: request.unrepeatable,
    remainingMilliseconds: Math.max(0, Math.floor(request.deadline - now)),
    method: request.method,
    path: request.path,
    headers: [...request.headers],
    body: request.body,
    team: request.team,
    entryId,
    claimKey: handOverTry.claimKey,
  });
}

function isConnectFailure(reason: string): boolean {
  return /ECONNREFUSED|EHOSTUNREACH|ENETUNREACH/.test(reason);
}

/**
 * Hands a request over to an agent in one message.
 *
 * If the answer is lost, the request is fenced at the agent. If it has not
 * begun, it never will; if it has ended, the agent returns its outcome;
 * otherwise the outcome is unknown.
 */
export function handOver(
  dependencies: HandOverDependencies,
  handOverTry: HandOverTry,
  now: number,
): Effect.Effect<RunOutcome> {
  const { upstream, tryId, request } = handOverTry;
  const client = dependencies.clients.agentAt(upstream.agentAddress);
  const remaining = request.deadline - now + ANSWER_GRACE_MILLISECONDS;
  const fence = (failure: string): Effect.Effect<RunOutcome> =>
    client.fence(tryId, upstream.agentInstance).pipe(
      Effect.timeoutFail({
        duration: FENCE_TIMEOUT_MILLISECONDS,
        onTimeout: () => new Error('the fence timed out'),
      }),
      Effect.catchAll(() =>
        Effect.sync(() => {
          dependencies.clients.reset(upstream.agentAddress);
          return unknownOutcome(STEP, upstream.agentId, failure);
        }),
      ),
      Effect.tap(outcome =>
        Effect.sync(() => {
          const text = `Fenced at ${upstream.agentId}: ${outcome.kind}.`;
          dependencies.events.record('request-fenced', text, {
            request: tryId,
          });
        }),
      ),
    );
  const send = client
    .run(runRequestOf(dependencies.entryId, handOverTry, now))
    .pipe(
      Effect.timeoutFail({
        duration: Math.max(0, remaining),
        onTimeout: () => new Error('no answer before the deadline'),
      }),
      Effect.tap(({ load }) =>
        Effect.sync(() => {
          // The agent made the report after this request had released its slot.
          if (load !== undefined) {
            dependencies.loads.recordReport(
              upstream.attempt,
              load,
              dependencies.clock.now(),
              1,
            );
          }
        }),
      ),
      Effect.map(({ outcome }) => outcome),
      Effect.catchAll(({ message }) =>
        isConnectFailure(message)
          ? Effect.succeed(
              notRunOutcome(CONNECT_STEP, upstream.agentId, message),
            )
          : fence(message),
      ),
    );
  return Effect.sync(() => {
    dependencies.loads.requestStarted(upstream.attempt);
  }).pipe(
    Effect.zipRight(send),
    Effect.ensuring(
      Effect.sync(() => {
        dependencies.loads.requestEnded(upstream.attempt);
      }),
    ),
  );
}
