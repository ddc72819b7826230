import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';
import type { RunRequest } from '@basilcourse/wire/request_plane_pb';
import { AgentService } from '@basilcourse/wire/request_plane_pb';
import type { ConnectRouter } from '@connectrpc/connect';
import * as Effect from 'effect/Effect';

import type { AgentClaims } from '../agent/agent-claims.js';
import type { RequestRunner } from '../agent/request-runner.js';
import type { RunLedger } from '../agent/run-ledger.js';
import type { UpstreamRegistry } from '../agent/upstream-registry.js';
import { MAXIMUM_TRIES, tryIdOf } from '../entry/request-tries.js';
import { unknownOutcome } from '../outcome/outcomes.js';
import { outcomeMessageOf } from './outcome-messages.js';

const MICROSECONDS_PER_MILLISECOND = 1000;

/** Dependencies of the handlers of calls to an agent. */
interface AgentRouteDependencies {
  readonly runner: RequestRunner;
  readonly ledger: RunLedger;
  readonly agentClaims: AgentClaims;
  readonly registry: UpstreamRegistry;
  readonly clock: Clock;
  readonly events: EventRecorder;
  readonly instance: string;
}

interface LoadReportFields {
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  readonly meanServiceMicroseconds: number;
}

/** Load of a local upstream as the fields of a message; undefined if absent. */
export function loadReportOf(
  registry: UpstreamRegistry,
  attempt: string,
): LoadReportFields | undefined {
  const upstream = registry.find(attempt);
  if (upstream === undefined) {
    return undefined;
  }
  const { slots, running, queued, serviceTime } = upstream.gate;
  const microseconds = serviceTime.milliseconds * MICROSECONDS_PER_MILLISECOND;
  const meanServiceMicroseconds = Math.round(microseconds);
  return { slots, running, queued, meanServiceMicroseconds };
}

function recover(
  { ledger }: AgentRouteDependencies,
  requestId: string,
): RecoverOutcome {
  for (let tryNumber = MAXIMUM_TRIES - 1; tryNumber >= 0; tryNumber -= 1) {
    const entry = ledger.find(tryIdOf(requestId, tryNumber));
    if (entry?.state === 'waiting' || entry?.state === 'began') {
      return { case: 'inProgress', value: true };
    }
    if (entry?.outcome?.kind === 'completed') {
      const message = outcomeMessageOf(entry.outcome);
      if (message.case === 'completed') {
        return message;
      }
    }
  }
  return { case: 'notKnown', value: true };
}

type RecoverOutcome =
  | Extract<ReturnType<typeof outcomeMessageOf>, { readonly case: 'completed' }>
  | { readonly case: 'inProgress'; readonly value: true }
  | { readonly case: 'notKnown'; readonly value: true };

/** Time since which an agent has all its claims, as the fields of a message. */
export function memoryStartOf(agentClaims: AgentClaims): {
  readonly memoryStartMilliseconds: bigint;
  readonly memoryStartOffset?: bigint;
} {
  const memoryStartMilliseconds = BigInt(agentClaims.memoryStart);
  const { memoryStartOffset: offset } = agentClaims;
  return offset === undefined
    ? { memoryStartMilliseconds }
    : { memoryStartMilliseconds, memoryStartOffset: BigInt(offset) };
}

function run(
  { runner }: AgentRouteDependencies,
  request: RunRequest,
  signal: AbortSignal,
): Promise<ReturnType<typeof outcomeMessageOf>> {
  const work = runner.run(request).pipe(Effect.map(outcomeMessageOf));
  return Effect.runPromise(work, { signal });
}

/** Registers the handlers of the calls to an agent. */
export function agentRoutes(
  dependencies: AgentRouteDependencies,
): (router: ConnectRouter) => void {
  const { ledger, agentClaims, registry, clock, instance } = dependencies;
  return router => {
    router.service(AgentService, {
      run: async (request, context) => {
        const outcome = await run(dependencies, request, context.signal);
        const load = loadReportOf(registry, request.attemptId);
        return load === undefined ? { outcome } : { outcome, load };
      },
      fence: request => {
        const isOtherInstance = request.agentInstance !== instance;
        const outcome = isOtherInstance
          ? unknownOutcome('agent.fence', instance, 'the agent was restarted')
          : ledger.fence(request.requestId, clock.now());
        return { outcome: outcomeMessageOf(outcome) };
      },
      claim: request => {
        const { claimKey, requestId, attemptId } = request;
        const memoryStart = memoryStartOf(agentClaims);
        if (registry.hasEnded(attemptId)) {
          const value = 'the attempt beside this agent has ended';
          return { outcome: { case: 'refused', value }, ...memoryStart };
        }
        const value = agentClaims.claim(claimKey, requestId, clock.now());
        return { outcome: { case: 'holderRequestId', value }, ...memoryStart };
      },
      release: request => {
        agentClaims.release(request.claimKey, request.requestId);
        return {};
      },
      recover: request => ({
        outcome: recover(dependencies, request.requestId),
      }),
    });
  };
}
