import type { ServerResponse } from 'node:http';

import { rawHeadersOf } from '../http/header-fields.js';
import type { RunOutcome } from '../outcome/run-outcome.js';

const HTTP_UNAVAILABLE = 503;

const HTTP_GATEWAY_TIMEOUT = 504;

/** What a caller may safely do when there is no answer from an upstream. */
const adviceByKind = {
  'not-run': 'The request was not run and never will be; it may be sent again.',
  unknown:
    'The request may have run; send it again only if it is repeatable or under the same Idempotency-Key.',
} as const;

const statusByKind = {
  'not-run': HTTP_UNAVAILABLE,
  unknown: HTTP_GATEWAY_TIMEOUT,
} as const;

/** Sends the outcome of a request to its caller and ends the answer. */
export function writeOutcome(
  outgoing: ServerResponse,
  requestId: string,
  outcome: RunOutcome,
): void {
  const own = {
    'basilcourse-outcome': outcome.kind,
    'basilcourse-request-id': requestId,
  };
  if (outcome.kind === 'completed') {
    const length = { 'content-length': outcome.body.length };
    const headers = { ...rawHeadersOf(outcome.headers), ...own, ...length };
    outgoing.writeHead(outcome.status, headers);
    outgoing.end(outcome.body);
    return;
  }
  const { kind, step, peer, reason } = outcome;
  const advice = adviceByKind[kind];
  const body = Buffer.from(
    JSON.stringify({ outcome: kind, requestId, step, peer, reason, advice }),
  );
  outgoing.writeHead(statusByKind[kind], {
    ...own,
    'content-type': 'application/json',
    'content-length': body.length,
  });
  outgoing.end(body);
}
