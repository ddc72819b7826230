import { Agent } from 'node:http';

import { callJson } from '@basilcourse/foundation/http/call-json';

/** Connections to other processes of the system are kept and reused. */
const peerConnections = new Agent({ keepAlive: true, maxSockets: 16 });

/** Posts JSON to another process of the system and returns its answer. */
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
