import type { Agent, ClientRequest, IncomingMessage } from 'node:http';
import { request } from 'node:http';

import { neverConnected } from '@basilcourse/foundation/errors/never-connected';
import { splitAddress } from '@basilcourse/foundation/net/split-address';
import type { RunRequest } from '@basilcourse/wire/request_plane_pb';
import * as Effect from 'effect/Effect';

import { forwardedFields, rawHeadersOf } from '../http/header-fields.js';
import { notRunOutcome, unknownOutcome } from '../outcome/outcomes.js';
import type { RunOutcome } from '../outcome/run-outcome.js';

/** Maximum size of an upstream's answer. */
const MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;

const STEP = 'agent.run';

/** A request to be sent to one upstream. */
export interface UpstreamCall {
  readonly address: string;
  readonly run: RunRequest;
  readonly agent: Agent;
  readonly remainingMilliseconds: number;
}

type Finish = (outcome: RunOutcome) => void;

function readAnswer(
  answer: IncomingMessage,
  address: string,
  finish: Finish,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  answer.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    chunks.push(chunk);
    if (bytes > MAXIMUM_ANSWER_BYTES) {
      finish(unknownOutcome(STEP, address, 'the answer is too large'));
      answer.destroy();
    }
  });
  answer.on('close', () => {
    if (!answer.complete) {
      finish(unknownOutcome(STEP, address, 'the answer was cut off'));
      return;
    }
    finish({
      kind: 'completed',
      status: answer.statusCode ?? 0,
      headers: forwardedFields(answer.rawHeaders),
      body: Buffer.concat(chunks),
    });
  });
}

function outcomeOfError(error: Error, address: string): RunOutcome {
  return neverConnected(error)
    ? notRunOutcome(STEP, address, error.message)
    : unknownOutcome(STEP, address, error.message);
}

function send(call: UpstreamCall, finish: Finish): ClientRequest {
  const { address, run } = call;
  const outgoing = request({
    ...splitAddress(address),
    method: run.method,
    path: run.path,
    agent: call.agent,
    headers: {
      ...rawHeadersOf(run.headers),
      'content-length': String(run.body.length),
      'basilcourse-request-id': run.callerRequestId,
      'basilcourse-unrepeatable': String(run.unrepeatable),
      'basilcourse-timeout-milliseconds': String(call.remainingMilliseconds),
    },
  });
  outgoing.on('response', answer => {
    readAnswer(answer, address, finish);
  });
  outgoing.on('error', error => {
    finish(outcomeOfError(error, address));
  });
  outgoing.end(run.body);
  return outgoing;
}

/**
 * Sends a request to an upstream and waits for its complete answer.
 *
 * Interruption closes the connection, which frees the upstream's slot.
 */
export function callUpstream(call: UpstreamCall): Effect.Effect<RunOutcome> {
  return Effect.async<RunOutcome>(resume => {
    const outgoing = send(call, outcome => {
      resume(Effect.succeed(outcome));
    });
    const timer = setTimeout(() => {
      const reason = 'no whole answer before the deadline';
      resume(Effect.succeed(unknownOutcome(STEP, call.address, reason)));
      outgoing.destroy();
    }, call.remainingMilliseconds);
    outgoing.once('close', () => {
      clearTimeout(timer);
    });
    return Effect.sync(() => {
      clearTimeout(timer);
      outgoing.destroy();
    });
  });
}
