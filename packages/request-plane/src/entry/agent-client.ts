import type { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type {
  ClaimResponse,
  RecoverResponse,
  RunRequest,
} from '@basilcourse/wire/request_plane_pb';
import type * as Effect from 'effect/Effect';

import type { RunOutcome } from '../outcome/run-outcome.js';
import type { AgentAnswer } from './agent-answer.js';

/** Calls to one agent. */
export interface AgentClient {
  readonly run: (
    request: RunRequest,
  ) => Effect.Effect<AgentAnswer, PeerUnreachableError>;
  readonly fence: (
    requestId: string,
    agentInstance: string,
  ) => Effect.Effect<RunOutcome, PeerUnreachableError>;
  readonly claim: (
    claimKey: string,
    requestId: string,
    attempt: string,
  ) => Effect.Effect<ClaimResponse, PeerUnreachableError>;
  readonly release: (
    claimKey: string,
    requestId: string,
  ) => Effect.Effect<void, PeerUnreachableError>;
  readonly recover: (
    requestId: string,
  ) => Effect.Effect<RecoverResponse, PeerUnreachableError>;
}
