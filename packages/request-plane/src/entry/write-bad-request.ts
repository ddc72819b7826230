import type { ServerResponse } from 'node:http';

import type { BadRequest } from './bad-request.js';

/** Sends the answer to a request that failed the initial checks. */
export function writeBadRequest(
  outgoing: ServerResponse,
  bad: BadRequest,
): void {
  const body = Buffer.from(
    JSON.stringify({
      outcome: 'not-run',
      step: 'entry.read',
      peer: 'caller',
      reason: bad.reason,
      advice: 'Mend the request before it is sent again.',
    }),
  );
  outgoing.writeHead(bad.status, {
    'basilcourse-outcome': 'not-run',
    'content-type': 'application/json',
    'content-length': body.length,
    connection: 'close',
  });
  outgoing.end(body);
}
