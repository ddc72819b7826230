import type {
  CompletedAnswer,
  FenceResponse,
  NotRunAnswer,
  RunResponse,
  UnknownAnswer,
} from '@basilcourse/wire/request_plane_pb';
import {
  CompletedAnswerSchema,
  NotRunAnswerSchema,
  UnknownAnswerSchema,
} from '@basilcourse/wire/request_plane_pb';
import { create } from '@bufbuild/protobuf';

import { notRunOutcome, unknownOutcome } from '../outcome/outcomes.js';
import type { RunOutcome } from '../outcome/run-outcome.js';

/** An outcome as a field of a message. */
export type OutcomeMessage =
  | { readonly case: 'completed'; readonly value: CompletedAnswer }
  | { readonly case: 'notRun'; readonly value: NotRunAnswer }
  | { readonly case: 'unknown'; readonly value: UnknownAnswer };

/** Converts an outcome to its message. */
export function outcomeMessageOf(outcome: RunOutcome): OutcomeMessage {
  switch (outcome.kind) {
    case 'completed': {
      const { status, headers, body } = outcome;
      const fields = { status, headers: [...headers], body };
      return {
        case: 'completed',
        value: create(CompletedAnswerSchema, fields),
      };
    }
    case 'not-run': {
      const { step, reason } = outcome;
      return {
        case: 'notRun',
        value: create(NotRunAnswerSchema, { step, reason }),
      };
    }
    case 'unknown': {
      const { step, reason } = outcome;
      return {
        case: 'unknown',
        value: create(UnknownAnswerSchema, { step, reason }),
      };
    }
  }
}

/** Converts a message from a peer to the outcome that it reports. */
export function readOutcome(
  message: RunResponse['outcome'] | FenceResponse['outcome'],
  peer: string,
): RunOutcome {
  switch (message.case) {
    case 'completed': {
      const { status, headers, body } = message.value;
      return { kind: 'completed', status, headers, body };
    }
    case 'notRun':
      return notRunOutcome(message.value.step, peer, message.value.reason);
    case 'unknown':
      return unknownOutcome(message.value.step, peer, message.value.reason);
    case undefined:
      return unknownOutcome('agent.run', peer, 'the answer names no outcome');
  }
}
