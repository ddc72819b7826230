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

/**
 * Maximum time from the end of a call without a whole answer until the
 * upstream counts as having seen it.
 */
const MAXIMUM_LINGER_MILLISECONDS = 1000;

const STEP = 'agent.run';

/** A request to be sent to one upstream. */
export interface UpstreamCall {
  readonly address: string;
  readonly run: RunRequest;
  readonly agent: Agent;
  readonly remainingMilliseconds: number;
  /** Called when the request is about to be sent; `onReleased` follows. */
  readonly onSent: () => void;
  /**
   * Called once, when the upstream does not work on the request any more, as far
   * as can be known: it has answered, or closed the connection after the end of
   * the call, or has had the longest time in which it sees that end.
   */
  readonly onReleased: () => void;
}

type Finish = (outcome: RunOutcome) => void;

function readAnswer(
  answer: IncomingMessage,
  address: string,
  finish: Finish,
  leave: () => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  answer.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    chunks.push(chunk);
    if (bytes > MAXIMUM_ANSWER_BYTES) {
      finish(unknownOutcome(STEP, address, 'the answer is too large'));
      answer.removeAllListeners('data').resume();
      leave();
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
    readAnswer(answer, address, finish, () => {
      leaveCall(outgoing);
    });
  });
  outgoing.on('error', error => {
    finish(outcomeOfError(error, address));
  });
  outgoing.once('close', () => {
    call.onReleased();
  });
  outgoing.end(run.body);
  return outgoing;
}

/**
 * Ends a call without waiting for its answer: closes this side of the connection,
 * so that the upstream stops and closes its side, which shows that it has seen
 * the end. One that does not is cut off after a while.
 */
function leaveCall(outgoing: ClientRequest): void {
  const { socket } = outgoing;
  if (socket === null || socket.connecting || socket.destroyed) {
    outgoing.destroy();
    return;
  }
  const timer = setTimeout(() => {
    outgoing.destroy();
  }, MAXIMUM_LINGER_MILLISECONDS);
  outgoing.once('close', () => {
    clearTimeout(timer);
  });
  socket.end();
}

/**
 * Sends a request to an upstream and waits for its complete answer.
 *
 * Interruption and the deadline end the call at once; the slot of the upstream is
 * free only when `onReleased` is called.
 */
export function callUpstream(call: UpstreamCall): Effect.Effect<RunOutcome> {
  return Effect.async<RunOutcome>(resume => {
    call.onSent();
    const outgoing = send(call, outcome => {
      resume(Effect.succeed(outcome));
    });
    const timer = setTimeout(() => {
      const reason = 'no whole answer before the deadline';
      resume(Effect.succeed(unknownOutcome(STEP, call.address, reason)));
      leaveCall(outgoing);
    }, call.remainingMilliseconds);
    outgoing.once('close', () => {
      clearTimeout(timer);
    });
    return Effect.sync(() => {
      clearTimeout(timer);
      leaveCall(outgoing);
    });
  });
}
