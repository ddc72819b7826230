import { Agent } from 'node:http';

import { callJson } from '@basilcourse/foundation/http/call-json';

/** Keeps connections to other processes of the system open for reuse. */
const peerConnections = new Agent({ keepAlive: true, maxSockets: 16 });

/** Posts JSON to another process of the system and returns its response. */
export function callPeer(
  address: string,
  path: string,
  body: unknown,
  timeoutMilliseconds: number,
): Promise<unknown> {
  return callJson({
    step: `peer.call ${path}`,
    address,
    method: 'POST',
    path,
    body,
    agent: peerConnections,
    timeoutMilliseconds,
  });
}
